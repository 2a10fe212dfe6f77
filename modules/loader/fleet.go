package loader

import (
	"encoding/hex"
	"errors"
	"net/netip"

	"github.com/tailscale/hujson"
)

// keySize is the length of a fleet key, in bytes.
const keySize = 32

// Fleet configures the communication between the entry VMs.
type Fleet struct {
	// Gossip is the UDP address of the membership protocol.
	Gossip netip.AddrPort
	// Link is the UDP address of the QUIC connections between VMs.
	Link netip.AddrPort
	// Keys are the shared fleet keys. The first one encrypts, and all are accepted.
	Keys [][]byte
}

func (s *Fleet) section(p *parser) section {
	return section{
		"gossip": address(&s.Gossip),
		"link":   address(&s.Link),
		"keys":   {required: true, set: func(v hujson.Value) error { return s.setKeys(p, v) }},
	}
}

func (s *Fleet) setKeys(p *parser, v hujson.Value) error {
	a, ok := v.Value.(*hujson.Array)
	if !ok || len(a.Elements) == 0 {
		return errors.New("must be a list of at least one key")
	}
	for _, e := range a.Elements {
		var digits string
		if err := decode(e, "64 hexadecimal digits", &digits); err != nil {
			return p.errorAt(e.StartOffset, "fleet.keys", err.Error())
		}
		raw, err := hex.DecodeString(digits)
		if err != nil || len(raw) != keySize {
			return p.errorAt(e.StartOffset, "fleet.keys", "must be 64 hexadecimal digits")
		}
		s.Keys = append(s.Keys, raw)
	}
	return nil
}
