// Package loader loads and checks the settings of a daemon: JSON with comments, in which
// unknown keys, wrong types and values out of range are refused with file, line and key.
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

// ErrInvalid is matched by every error in settings.
var ErrInvalid = errors.New("invalid settings")

// Error is one fault in a settings file.
type Error struct {
	// File is the name of the file.
	File string
	// Line starts at 1.
	Line int
	// Key is the dotted path of the setting.
	Key     string
	Message string
}

// Error returns file, line, key and message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Message)
}

// Is matches ErrInvalid.
func (e *Error) Is(target error) bool {
	return target == ErrInvalid
}

// Settings are the settings of one daemon.
type Settings struct {
	VM        VM
	Callers   Callers
	Operators Operators
	Fleet     Fleet
	Platform  Platform
	Limits    Limits
	Log       Log
}

// parser reads one file.
type parser struct {
	file string
	data []byte
	// seen maps each key that was set to its line.
	seen map[string]int
}

// field sets one setting from its value.
type field struct {
	set      func(v hujson.Value) error
	required bool
}

// section maps the keys of one object.
type section map[string]field

// Load reads settings from data; file is the name that errors give. Errors match ErrInvalid.
func Load(file string, data []byte) (Settings, error) {
	p := &parser{file: file, data: data, seen: make(map[string]int)}
	root, err := hujson.Parse(data)
	if err != nil {
		return Settings{}, &Error{File: file, Line: syntaxLine(err), Key: "-", Message: err.Error()}
	}
	s := defaults()
	err = p.object("", root, section{
		"vm":        p.sub("vm", s.VM.section(), true),
		"callers":   p.sub("callers", s.Callers.section(), true),
		"operators": p.sub("operators", s.Operators.section(p), true),
		"fleet":     p.sub("fleet", s.Fleet.section(p), true),
		"platform":  p.sub("platform", s.Platform.section(), true),
		"limits":    p.sub("limits", s.Limits.section(), false),
		"log":       p.sub("log", s.Log.section(), false),
	})
	if err != nil {
		return Settings{}, err
	}
	return *s, p.clashes(s)
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

func (p *parser) fail(offset int, key, message string) error {
	return &Error{File: p.file, Line: p.line(offset), Key: key, Message: message}
}

func (p *parser) sub(key string, s section, required bool) field {
	return field{set: func(v hujson.Value) error { return p.object(key+".", v, s) }, required: required}
}

// object reads an object with the keys of s; prefix ends in a dot unless it is empty.
func (p *parser) object(prefix string, v hujson.Value, s section) error {
	name := strings.TrimSuffix(prefix, ".")
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return p.fail(v.StartOffset, name, "must be an object")
	}
	set := make(map[string]bool)
	for _, m := range o.Members {
		key := m.Name.Value.(hujson.Literal).String()
		f, known := s[key]
		switch {
		case !known:
			return p.fail(m.Name.StartOffset, prefix+key, "unknown key")
		case set[key]:
			return p.fail(m.Name.StartOffset, prefix+key, "key given twice")
		}
		set[key] = true
		p.seen[prefix+key] = p.line(m.Name.StartOffset)
		if err := f.set(m.Value); err != nil {
			return p.locate(err, m.Value.StartOffset, prefix+key)
		}
	}
	for key, f := range s {
		if f.required && !set[key] {
			return p.fail(v.StartOffset, prefix+key, "missing")
		}
	}
	return nil
}

// locate adds the place to an error that has none.
func (p *parser) locate(err error, offset int, key string) error {
	var located *Error
	if errors.As(err, &located) {
		return err
	}
	return p.fail(offset, key, err.Error())
}

// clashes refuses two listeners on one address.
func (p *parser) clashes(s *Settings) error {
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
				return &Error{File: p.file, Line: p.seen[a.key], Key: a.key, Message: "same address as " + b.key}
			}
		}
	}
	return nil
}

// decode reads a literal into out.
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

func truth(out *bool) field {
	return field{set: func(v hujson.Value) error { return decode(v, "true or false", out) }}
}
