package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
)

// TLSFiles are the paths of PEM files for mutual TLS. Changed files are read again
// at the next handshake; sessions that are up keep their keys.
type TLSFiles struct {
	Certificate string
	Key         string
	// Authority holds the certificates that sign the peers' certificates.
	Authority string
	// Names are accepted in a peer's certificate instead of the peer's own name,
	// for fleets that share one certificate.
	Names []string
}

// fileState holds the attributes by which a changed file is detected.
type fileState struct {
	modified time.Time
	size     int64
}

// tlsMaterial holds the certificates and the key that were read from the files, and
// the state of the files at that time.
type tlsMaterial struct {
	certificate tls.Certificate
	roots       *x509.CertPool
	fileStates  [3]fileState
}

// tlsReloader reads the TLS files and reads them again when they have changed. It is
// safe for concurrent use.
type tlsReloader struct {
	files  TLSFiles
	logger *eventlog.Logger

	mu     sync.Mutex
	loaded *tlsMaterial
}

func newTLSReloader(files TLSFiles, logger *eventlog.Logger) (*tlsReloader, error) {
	t := &tlsReloader{files: files, logger: logger}
	material, err := t.load()
	if err != nil {
		return nil, err
	}
	t.loaded = material
	return t, nil
}

// current returns the content of the files. While they cannot be read, for example
// halfway through their replacement, it logs the error and returns the previous
// content.
func (t *tlsReloader) current() *tlsMaterial {
	t.mu.Lock()
	defer t.mu.Unlock()
	fileStates, err := t.fileStates()
	if err == nil && fileStates == t.loaded.fileStates {
		return t.loaded
	}
	material, err := t.load()
	if err != nil {
		t.logger.EmitError(eventlog.SessionDown, err, eventlog.Fields{"reason": "TLS files cannot be read; the previous certificates stay in use"})
		return t.loaded
	}
	t.loaded = material
	return material
}

// fileStates returns the states of the certificate, key and authority files.
func (t *tlsReloader) fileStates() ([3]fileState, error) {
	var states [3]fileState
	for i, path := range []string{t.files.Certificate, t.files.Key, t.files.Authority} {
		info, err := os.Stat(path)
		if err != nil {
			return states, fault.Wrap(err, "peer.tls", path)
		}
		states[i] = fileState{modified: info.ModTime(), size: info.Size()}
	}
	return states, nil
}

// load reads the files.
func (t *tlsReloader) load() (*tlsMaterial, error) {
	fileStates, err := t.fileStates()
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(t.files.Certificate, t.files.Key)
	if err != nil {
		return nil, fault.Wrap(err, "peer.tls", t.files.Certificate)
	}
	pem, err := os.ReadFile(t.files.Authority)
	if err != nil {
		return nil, fault.Wrap(err, "peer.tls", t.files.Authority)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fault.New("peer.tls", t.files.Authority, "no certificate in the authority file")
	}
	return &tlsMaterial{certificate: certificate, roots: roots, fileStates: fileStates}, nil
}

// clientConfig returns the TLS configuration to dial the named peer with. The
// peer's certificate chain and name are checked in VerifyConnection, because the
// standard check accepts a single server name and not the list TLSFiles.Names.
func (t *tlsReloader) clientConfig(name string) *tls.Config {
	material := t.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{material.certificate},
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			if err := verifyChain(state, material.roots, x509.ExtKeyUsageServerAuth); err != nil {
				return err
			}
			return t.checkName(state, name)
		},
	}
}

// serverConfig returns the TLS configuration for one accepted connection. It checks
// the peer's certificate chain; the name is checked once Hello has arrived.
func (t *tlsReloader) serverConfig() *tls.Config {
	material := t.current()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{material.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, material.roots, x509.ExtKeyUsageClientAuth)
		},
	}
}

// verifyChain checks that the peer's certificate is signed by one of roots and may be
// used for usage.
func verifyChain(state tls.ConnectionState, roots *x509.CertPool, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return fault.New("peer.tls", "", "the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return fault.Wrap(err, "peer.tls", state.PeerCertificates[0].Subject.CommonName)
}

// checkName returns an error unless the common name or a DNS name of the peer's
// certificate is the peer's name or in TLSFiles.Names.
func (t *tlsReloader) checkName(state tls.ConnectionState, name string) error {
	leaf := state.PeerCertificates[0]
	names := append([]string{leaf.Subject.CommonName}, leaf.DNSNames...)
	for _, n := range names {
		if n != "" && (n == name || slices.Contains(t.files.Names, n)) {
			return nil
		}
	}
	return fault.New("peer.tls", name, "the certificate does not hold the peer's name")
}
