// Package sealer encrypts and authenticates messages between VMs with shared keys.
package sealer

import (
	"crypto/cipher"
	"crypto/rand"
	"errors"

	"github.com/samber/oops"
	"golang.org/x/crypto/chacha20poly1305"
)

// ErrNotAuthentic is returned for a message that no accepted key authenticates.
var ErrNotAuthentic = errors.New("message not authentic")

// Sealer encrypts messages with XChaCha20-Poly1305 and a random nonce.
type Sealer struct {
	// aeads holds a cipher for each accepted key; the first one encrypts.
	aeads []cipher.AEAD
}

// New returns a Sealer for 32-byte keys. The first key encrypts, and all of them decrypt.
// New returns an error if there is no key or if a key is invalid.
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
		return nil, oops.Errorf("at least one key is required")
	}
	return s, nil
}

// Seal encrypts and authenticates a message. The nonce precedes the ciphertext.
func (s *Sealer) Seal(plain []byte) []byte {
	out := make([]byte, chacha20poly1305.NonceSizeX, chacha20poly1305.NonceSizeX+len(plain)+chacha20poly1305.Overhead)
	_, _ = rand.Read(out)
	return s.aeads[0].Seal(out, out, plain, nil)
}

// Open decrypts a message that Seal returned. It returns ErrNotAuthentic if no key fits.
func (s *Sealer) Open(sealed []byte) ([]byte, error) {
	if len(sealed) < chacha20poly1305.NonceSizeX+chacha20poly1305.Overhead {
		return nil, ErrNotAuthentic
	}
	nonce, body := sealed[:chacha20poly1305.NonceSizeX], sealed[chacha20poly1305.NonceSizeX:]
	for _, a := range s.aeads {
		if plain, err := a.Open(nil, nonce, body, nil); err == nil {
			return plain, nil
		}
	}
	return nil, ErrNotAuthentic
}
