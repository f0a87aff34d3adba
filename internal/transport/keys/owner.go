package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"os"

	"github.com/go-faster/errors"
)

// ownerBlock is the type of the PEM block with an owner's key (RFC 7468).
const ownerBlock = "PRIVATE KEY"

// ownerMode lets only the owner read the key.
const ownerMode = 0o600

// LoadOwnerKey reads an owner's Ed25519 private key from a PEM file.
func LoadOwnerKey(path string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read owner's key")
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != ownerBlock {
		return nil, errors.Errorf("read owner's key %s: no PEM block %q", path, ownerBlock)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Wrapf(err, "parse owner's key %s", path)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, errors.Errorf("owner's key %s is no Ed25519 key", path)
	}
	return key, nil
}

// GenerateOwnerKey writes a new owner's key to a file that must not exist yet.
func GenerateOwnerKey(path string) (ed25519.PrivateKey, error) {
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate owner's key")
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "encode owner's key")
	}
	fi, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, ownerMode)
	if err != nil {
		return nil, errors.Wrap(err, "create owner's key")
	}
	defer fi.Close()
	if err := pem.Encode(fi, &pem.Block{Type: ownerBlock, Bytes: encoded}); err != nil {
		return nil, errors.Wrapf(err, "write owner's key %s", path)
	}
	return key, nil
}
