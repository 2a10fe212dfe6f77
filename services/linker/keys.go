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

// ErrUntrusted is returned when the peer's certificate matches no fleet key.
var ErrUntrusted = errors.New("peer certificate does not match an accepted fleet key")

// KeySize is the size of a fleet key, in bytes.
const KeySize = 32

// alpnProtocol is the protocol name and version that the TLS handshake negotiates (ALPN).
const alpnProtocol = "ebonylock-link/1"

// certificateLifetime is the validity period of the self-signed certificate, which is created
// again at each start.
const certificateLifetime = 20 * 365 * 24 * time.Hour

// Keys are the keys of the fleet. The first key signs this VM's certificate; peers with any
// of the keys are accepted, so that keys can be rotated.
type Keys [][]byte

// DeriveKey returns a key of KeySize bytes for purpose from the fleet key secret, by HKDF
// with SHA-256 (RFC 5869).
func DeriveKey(secret []byte, purpose string) ([]byte, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, "ebonylock "+purpose, KeySize)
	return key, oops.Wrapf(err, "derive key")
}

// signer returns the private signing key that is derived from fleet key i. All VMs of the fleet
// derive the same key pair.
func (k Keys) signer(i int) (ed25519.PrivateKey, error) {
	seed, err := DeriveKey(k[i], "link")
	if err != nil {
		return nil, err
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// makeCertificate creates a self-signed certificate for the first fleet key.
func (k Keys) makeCertificate() (tls.Certificate, error) {
	if len(k) == 0 {
		return tls.Certificate{}, oops.Errorf("no fleet key configured")
	}
	key, err := k.signer(0)
	if err != nil {
		return tls.Certificate{}, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Now().Add(certificateLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, oops.Wrapf(err, "create link certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// verify accepts a peer whose certificate has the public key of one of the fleet keys, and
// returns ErrUntrusted for any other. The TLS handshake proves that the peer has the matching
// private key.
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
	cert, err := k.makeCertificate()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		NextProtos:       []string{alpnProtocol},
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
	// verify checks the peer's public key. Peers are addressed by IP address and port, so there is
	// no host name to check.
	conf.InsecureSkipVerify = true
	return conf, nil
}
