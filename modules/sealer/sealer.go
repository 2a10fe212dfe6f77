// Package sealer encrypts and authenticates messages between VMs with shared keys.
package sealer

import (
	"crypto/cipher"
	"crypto/rand"
	"errors"

	"github.com/samber/oops"
	"golang.org/x/crypto/chacha20poly1305"
)

// ErrForged says that a message is not authentic.
var ErrForged = errors.New("message not authentic")

// Sealer encrypts messages with XChaCha20-Poly1305 and a random nonce.
type Sealer struct {
	// aeads are the accepted keys; the first one seals.
	aeads []cipher.AEAD
}

// New returns a Sealer of 32-byte keys: the first one seals, all of them open.
func New(keys [][]byte) (*Sealer, error) {
	s := &Sealer{}
	for _, k := range keys {
		a, err := chacha20poly1305.NewX(k)
		if err != nil {
			return nil, oops.Wrapf(err, "key")
		}
		s.aeads = append(s.aeads, a)
	}
	if len(s.aeads) == 0 {
		return nil, oops.Errorf("no key")
	}
	return s, nil
}

// Seal returns the message in encrypted form.
func (s *Sealer) Seal(plain []byte) []byte {
	out := make([]byte, chacha20poly1305.NonceSizeX, chacha20poly1305.NonceSizeX+len(plain)+chacha20poly1305.Overhead)
	_, _ = rand.Read(out)
	return s.aeads[0].Seal(out, out, plain, nil)
}

// Open returns the message that was sealed. Errors match ErrForged.
func (s *Sealer) Open(sealed []byte) ([]byte, error) {
	if len(sealed) < chacha20poly1305.NonceSizeX+chacha20poly1305.Overhead {
		return nil, ErrForged
	}
	nonce, body := sealed[:chacha20poly1305.NonceSizeX], sealed[chacha20poly1305.NonceSizeX:]
	for _, a := range s.aeads {
		if plain, err := a.Open(nil, nonce, body, nil); err == nil {
			return plain, nil
		}
	}
	return nil, ErrForged
}
