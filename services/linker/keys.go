package linker

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"time"

	"github.com/samber/oops"
)

// ErrUntrusted says that the peer does not hold a fleet key.
var ErrUntrusted = errors.New("peer holds no accepted fleet key")

// KeySize is the length of a fleet key, in bytes.
const KeySize = 32

// protocol is the application protocol of the link, with its version.
const protocol = "ebonylock-link/1"

// certificateLife is the validity of the certificate made at each start.
const certificateLife = 20 * 365 * 24 * time.Hour

// Keys are the fleet's keys: the first one is used, all are accepted.
type Keys [][]byte

// DeriveKey returns a key of KeySize bytes for purpose from the fleet key secret, by HKDF
// with SHA-256 (RFC 5869).
func DeriveKey(secret []byte, purpose string) ([]byte, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, "ebonylock "+purpose, KeySize)
	return key, oops.Wrapf(err, "derive key")
}

func (k Keys) signer(i int) (ed25519.PrivateKey, error) {
	seed, err := DeriveKey(k[i], "link")
	if err != nil {
		return nil, err
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func (k Keys) certificate() (tls.Certificate, error) {
	if len(k) == 0 {
		return tls.Certificate{}, oops.Errorf("no fleet key")
	}
	key, err := k.signer(0)
	if err != nil {
		return tls.Certificate{}, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Now().Add(certificateLife),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, oops.Wrapf(err, "make link certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// verify accepts a peer whose certificate carries the public key of a fleet key. TLS
// itself proves that the peer holds the private key.
func (k Keys) verify(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return ErrUntrusted
	}
	cert := cs.PeerCertificates[0]
	for i := range k {
		key, err := k.signer(i)
		if err != nil {
			return err
		}
		if key.Public().(ed25519.PublicKey).Equal(cert.PublicKey) {
			return nil
		}
	}
	return ErrUntrusted
}

func (k Keys) serverConfig() (*tls.Config, error) {
	cert, err := k.certificate()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		NextProtos:       []string{protocol},
		Certificates:     []tls.Certificate{cert},
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: k.verify,
	}, nil
}

func (k Keys) clientConfig() (*tls.Config, error) {
	conf, err := k.serverConfig()
	if err != nil {
		return nil, err
	}
	// The peer's key is pinned by verify; there are no host names to check.
	conf.InsecureSkipVerify = true
	return conf, nil
}
