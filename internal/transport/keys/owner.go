package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"os"

	"github.com/go-faster/errors"
)

// ownerKeyBlock is the PEM type of an owner's key in PKCS #8 form (RFC 7468).
const ownerKeyBlock = "PRIVATE KEY"

// ownerKeyMode lets only the file's owner read and write the key.
const ownerKeyMode = 0o600

// LoadOwnerKey reads a configuration owner's Ed25519 private key from a PEM file.
func LoadOwnerKey(path string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read owner's key")
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != ownerKeyBlock {
		return nil, errors.Errorf("read owner's key %s: no PEM block %q", path, ownerKeyBlock)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Wrapf(err, "parse owner's key %s", path)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, errors.Errorf("owner's key %s is not an Ed25519 key", path)
	}
	return key, nil
}

// GenerateOwnerKey generates an owner's key and writes it to a file that must not
// exist yet.
func GenerateOwnerKey(path string) (ed25519.PrivateKey, error) {
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate owner's key")
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "encode owner's key")
	}
	fi, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, ownerKeyMode)
	if err != nil {
		return nil, errors.Wrap(err, "create owner's key")
	}
	defer fi.Close()
	if err := pem.Encode(fi, &pem.Block{Type: ownerKeyBlock, Bytes: encoded}); err != nil {
		return nil, errors.Wrapf(err, "write owner's key %s", path)
	}
	return key, nil
}
