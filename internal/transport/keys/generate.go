package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
)

const (
	trialLifetime = 24 * time.Hour // of generated certificates
	secretLength  = 32             // bytes
	privateMode   = 0o600
	directoryMode = 0o700
)

// PathsIn returns the paths of the files that Generate writes to a folder.
func PathsIn(folder string) Paths {
	return Paths{
		Certificate: filepath.Join(folder, "certificate.pem"),
		Key:         filepath.Join(folder, "key.pem"),
		Authority:   filepath.Join(folder, "authority.pem"),
		Secret:      filepath.Join(folder, "secret"),
	}
}

// Generate writes a certificate for loopback, its key, its authority's certificate
// and a random secret to a folder, which it creates if needed. They are for trials
// only: the certificates expire after a day, and the authority's key isn't kept.
func Generate(folder string, now time.Time) (Paths, error) {
	paths := PathsIn(folder)
	if err := os.MkdirAll(folder, directoryMode); err != nil {
		return paths, errors.Wrap(err, "create key folder")
	}
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return paths, errors.Wrap(err, "generate authority key")
	}
	authority := certificateTemplate("corneltiller trial authority", now)
	authority.IsCA = true
	authority.BasicConstraintsValid = true
	authority.KeyUsage = x509.KeyUsageCertSign
	if err := writeCertificate(paths.Authority, authority, authority, authorityKey, authorityKey); err != nil {
		return paths, err
	}
	return paths, writeLeaf(paths, authority, authorityKey, now)
}

// writeLeaf writes the certificate, its key and the secret.
func writeLeaf(paths Paths, authority *x509.Certificate, authorityKey *ecdsa.PrivateKey, now time.Time) error {
	leafKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate key")
	}
	leaf := certificateTemplate("corneltiller trial", now)
	leaf.DNSNames = []string{"localhost"}
	leaf.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	if err := writeCertificate(paths.Certificate, leaf, authority, leafKey, authorityKey); err != nil {
		return err
	}
	der, err := x509.MarshalECPrivateKey(leafKey)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	if err := writePEM(paths.Key, "EC PRIVATE KEY", der); err != nil {
		return err
	}
	secret := make([]byte, secretLength)
	if _, err := rand.Read(secret); err != nil {
		return errors.Wrap(err, "generate secret")
	}
	return writeFile(paths.Secret, secret)
}

func certificateTemplate(name string, now time.Time) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(trialLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

func writeCertificate(path string, ce, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, ce, parent, &key.PublicKey, parentKey)
	if err != nil {
		return errors.Wrap(err, "sign certificate")
	}
	return writePEM(path, "CERTIFICATE", der)
}

func writePEM(path, kind string, der []byte) error {
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return writeFile(path, block)
}

func writeFile(path string, data []byte) error {
	if err := os.WriteFile(path, data, privateMode); err != nil {
		return errors.Wrapf(err, "write %s", path)
	}
	return nil
}
