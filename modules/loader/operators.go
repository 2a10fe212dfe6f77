package loader

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/netip"

	"github.com/tailscale/hujson"
)

// Token is the credential of an operator.
type Token struct {
	// Name is the name of the operator, which is stored with each change.
	Name string
	// Hash is the SHA-256 of the token.
	Hash [sha256.Size]byte
}

// Operators configures the HTTP listener for operators.
type Operators struct {
	Listen netip.AddrPort
	// Tokens are the accepted credentials, at least one.
	Tokens []Token
}

func (s *Operators) section(p *parser) section {
	return section{
		"listen": address(&s.Listen),
		"tokens": {required: true, set: func(v hujson.Value) error { return s.setTokens(p, v) }},
	}
}

func (s *Operators) setTokens(p *parser, v hujson.Value) error {
	a, ok := v.Value.(*hujson.Array)
	if !ok || len(a.Elements) == 0 {
		return errors.New("must be a list of at least one token")
	}
	for _, e := range a.Elements {
		var t Token
		var digest string
		err := p.object("operators.tokens.", e, section{
			"name":   text(&t.Name, true),
			"sha256": text(&digest, true),
		})
		if err != nil {
			return err
		}
		raw, err := hex.DecodeString(digest)
		if err != nil || len(raw) != sha256.Size {
			return p.errorAt(e.StartOffset, "operators.tokens.sha256", "must be 64 hexadecimal digits")
		}
		t.Hash = [sha256.Size]byte(raw)
		s.Tokens = append(s.Tokens, t)
	}
	return nil
}
