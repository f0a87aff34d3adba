// Package keys loads certificates, private keys and the deployment's secret from
// files, and reloads them without a restart. It also generates keys.
//
// # Usage
//
//	st, err := keys.Open(paths)
//	server := st.PeerServerTLS()
//	client := st.PeerClientTLS()
//	err = st.Reload()
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// minSecretLength is the least length of the deployment's secret in bytes.
const minSecretLength = 16

// Paths holds the paths of one process's files.
type Paths struct {
	// Certificate is the PEM file of the process's certificate chain.
	Certificate string
	// Key is the PEM file of the certificate's private key.
	Key string
	// Authority is the PEM file of the certificates of the authorities that sign
	// peers' certificates.
	Authority string
	// Secret is the file of the secret from which the keys of connection IDs, envelopes,
	// tickets, routing hashes and stateless resets are derived.
	Secret string
}

// Store holds the loaded keys of one process. It is safe for concurrent use.
type Store struct {
	paths  Paths
	loaded atomic.Pointer[material]
}

// material is one loaded set of keys.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	secret      []byte
}

// Open loads the files. It returns an error if a file is missing or unusable, or if the
// secret has fewer than 16 bytes.
func Open(paths Paths) (*Store, error) {
	st := &Store{paths: paths}
	if err := st.Reload(); err != nil {
		return nil, err
	}
	return st, nil
}

// Reload loads the files again. After an error all former keys stay in use. New TLS
// handshakes use the loaded certificates; a user of Secret has to ask again.
func (st *Store) Reload() error {
	certificate, err := tls.LoadX509KeyPair(st.paths.Certificate, st.paths.Key)
	if err != nil {
		return errors.Wrapf(err, "load certificate %s", st.paths.Certificate)
	}
	bundle, err := os.ReadFile(st.paths.Authority)
	if err != nil {
		return errors.Wrap(err, "load authority")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(bundle) {
		return errors.Errorf("load authority %s: no certificate in the file", st.paths.Authority)
	}
	secret, err := os.ReadFile(st.paths.Secret)
	if err != nil {
		return errors.Wrap(err, "load secret")
	}
	if len(secret) < minSecretLength {
		return errors.Errorf("load secret %s: %d bytes, want at least %d", st.paths.Secret, len(secret), minSecretLength)
	}
	st.loaded.Store(&material{certificate: certificate, authority: authority, secret: secret})
	return nil
}

// Secret returns the deployment's secret.
func (st *Store) Secret() []byte {
	return st.loaded.Load().secret
}

// Authority returns the certificates of the authorities that sign peers'
// certificates.
func (st *Store) Authority() *x509.CertPool {
	return st.loaded.Load().authority
}

// PeerServerTLS returns the TLS configuration for accepting connections of peers,
// which must present a certificate signed by the authority.
func (st *Store) PeerServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			ma := st.loaded.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{ma.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    ma.authority,
			}, nil
		},
	}
}

// PeerClientTLS returns the TLS configuration for opening connections to peers. A
// peer must present a certificate signed by the authority; its name is not
// compared, as peers are reached by address.
func (st *Store) PeerClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			ce := st.loaded.Load().certificate
			return &ce, nil
		},
		InsecureSkipVerify: true, // VerifyConnection checks the chain without the name.
		VerifyConnection:   st.verifyPeer,
	}
}

// CallerTLS returns the TLS configuration for accepting connections of callers.
func (st *Store) CallerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			ce := st.loaded.Load().certificate
			return &ce, nil
		},
	}
}

// verifyPeer verifies the peer's certificate chain, but not its name.
func (st *Store) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("verify peer: no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, ce := range state.PeerCertificates[1:] {
		intermediates.AddCert(ce)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         st.Authority(),
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return errors.Wrap(err, "verify peer")
	}
	return nil
}
