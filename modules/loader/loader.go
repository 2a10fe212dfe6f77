// Package loader parses and validates the settings of a daemon. The format is JSON with
// comments. Unknown keys, wrong types and values out of range are rejected with an error that
// contains file, line and key.
package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// ErrInvalid matches every error in a settings file.
var ErrInvalid = errors.New("invalid settings")

// Error describes an error in a settings file.
type Error struct {
	// File is the name of the file.
	File string
	// Line is the line number, starting at 1.
	Line int
	// Key is the path of the setting, separated by dots.
	Key     string
	Message string
}

// Error returns file, line, key and message, separated by colons.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Message)
}

// Is reports whether target is ErrInvalid.
func (e *Error) Is(target error) bool {
	return target == ErrInvalid
}

// Settings contains the settings of a daemon.
type Settings struct {
	VM        VM
	Callers   Callers
	Operators Operators
	Fleet     Fleet
	Platform  Platform
	Limits    Limits
	Log       Log
}

// parser parses a single file.
type parser struct {
	file string
	data []byte
	// lines maps each key that was set to its line.
	lines map[string]int
}

// field describes a setting: set parses and stores its value.
type field struct {
	set      func(v hujson.Value) error
	required bool
}

// section maps the keys of an object to its settings.
type section map[string]field

// Load parses settings from data; file is the file name for error messages. Errors match
// ErrInvalid.
func Load(file string, data []byte) (Settings, error) {
	p := &parser{file: file, data: data, lines: make(map[string]int)}
	root, err := hujson.Parse(data)
	if err != nil {
		return Settings{}, &Error{File: file, Line: syntaxLine(err), Key: "-", Message: err.Error()}
	}
	s := defaults()
	err = p.object("", root, section{
		"vm":        p.subsection("vm", s.VM.section(), true),
		"callers":   p.subsection("callers", s.Callers.section(), true),
		"operators": p.subsection("operators", s.Operators.section(p), true),
		"fleet":     p.subsection("fleet", s.Fleet.section(p), true),
		"platform":  p.subsection("platform", s.Platform.section(), true),
		"limits":    p.subsection("limits", s.Limits.section(), false),
		"log":       p.subsection("log", s.Log.section(), false),
	})
	if err != nil {
		return Settings{}, err
	}
	return *s, p.checkListeners(s)
}

func defaults() *Settings {
	return &Settings{Callers: defaultCallers(), Limits: defaultLimits(), Log: Log{Level: "info", Format: "text"}}
}

func syntaxLine(err error) int {
	var line int
	if _, scan := fmt.Sscanf(err.Error(), "hujson: line %d", &line); scan != nil {
		return 1
	}
	return line
}

func (p *parser) line(offset int) int {
	return 1 + bytes.Count(p.data[:min(offset, len(p.data))], []byte("\n"))
}

func (p *parser) errorAt(offset int, key, message string) error {
	return &Error{File: p.file, Line: p.line(offset), Key: key, Message: message}
}

func (p *parser) subsection(key string, s section, required bool) field {
	return field{set: func(v hujson.Value) error { return p.object(key+".", v, s) }, required: required}
}

// object parses an object with the keys of s. The prefix is empty or ends with a dot.
func (p *parser) object(prefix string, v hujson.Value, s section) error {
	name := strings.TrimSuffix(prefix, ".")
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return p.errorAt(v.StartOffset, name, "must be an object")
	}
	found := make(map[string]bool)
	for _, m := range o.Members {
		key := m.Name.Value.(hujson.Literal).String()
		f, known := s[key]
		switch {
		case !known:
			return p.errorAt(m.Name.StartOffset, prefix+key, "unknown key")
		case found[key]:
			return p.errorAt(m.Name.StartOffset, prefix+key, "key given twice")
		}
		found[key] = true
		p.lines[prefix+key] = p.line(m.Name.StartOffset)
		if err := f.set(m.Value); err != nil {
			return p.withLocation(err, m.Value.StartOffset, prefix+key)
		}
	}
	for key, f := range s {
		if f.required && !found[key] {
			return p.errorAt(v.StartOffset, prefix+key, "missing")
		}
	}
	return nil
}

// withLocation adds file, line and key to an error unless it already has them.
func (p *parser) withLocation(err error, offset int, key string) error {
	var located *Error
	if errors.As(err, &located) {
		return err
	}
	return p.errorAt(offset, key, err.Error())
}

// checkListeners returns an error if two listeners have the same address. Port 0 is exempt, as
// the system then chooses a free port for each listener.
func (p *parser) checkListeners(s *Settings) error {
	listeners := []struct {
		key  string
		addr netip.AddrPort
	}{
		{"callers.listen", s.Callers.Listen},
		{"operators.listen", s.Operators.Listen},
		{"fleet.link", s.Fleet.Link},
		{"fleet.gossip", s.Fleet.Gossip},
	}
	for i, a := range listeners {
		for _, b := range listeners[:i] {
			if a.addr == b.addr && a.addr.Port() != 0 {
				return &Error{File: p.file, Line: p.lines[a.key], Key: a.key, Message: "same address as " + b.key}
			}
		}
	}
	return nil
}

// decode decodes a value into out. The error says that the value must be want.
func decode[T any](v hujson.Value, want string, out *T) error {
	v = v.Clone()
	v.Standardize()
	if err := json.Unmarshal(bytes.TrimSpace(v.Pack()), out); err != nil {
		return errors.New("must be " + want)
	}
	return nil
}

func text(out *string, required bool) field {
	return field{required: required, set: func(v hujson.Value) error {
		if err := decode(v, "a string", out); err != nil {
			return err
		}
		if required && *out == "" {
			return errors.New("must not be empty")
		}
		return nil
	}}
}

func choice(out *string, allowed ...string) field {
	return field{set: func(v hujson.Value) error {
		if err := decode(v, "a string", out); err != nil {
			return err
		}
		for _, a := range allowed {
			if *out == a {
				return nil
			}
		}
		return errors.New("must be one of " + strings.Join(allowed, ", "))
	}}
}

func address(out *netip.AddrPort) field {
	return field{required: true, set: func(v hujson.Value) error {
		var s string
		if err := decode(v, "an IP address and port", &s); err != nil {
			return err
		}
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return errors.New("must be an IP address and port, such as 127.0.0.1:7000")
		}
		*out = a
		return nil
	}}
}

func duration(out *time.Duration, low, high time.Duration) field {
	return field{set: func(v hujson.Value) error {
		var s string
		if err := decode(v, "a duration such as \"450ms\"", &s); err != nil {
			return err
		}
		d, err := time.ParseDuration(s)
		if err != nil || d < low || d > high {
			return fmt.Errorf("must be a duration from %v to %v", low, high)
		}
		*out = d
		return nil
	}}
}

func number[T int | float64](out *T, low, high T) field {
	return field{set: func(v hujson.Value) error {
		if err := decode(v, "a number", out); err != nil {
			return err
		}
		if *out < low || *out > high {
			return fmt.Errorf("must be from %v to %v", low, high)
		}
		return nil
	}}
}

func boolean(out *bool) field {
	return field{set: func(v hujson.Value) error { return decode(v, "true or false", out) }}
}
