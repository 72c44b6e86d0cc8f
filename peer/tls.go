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

// TLSFiles are PEM files for mutual TLS. They are read again when they change,
// at the next handshake; sessions that are up keep their keys.
type TLSFiles struct {
	Certificate string
	Key         string
	// Authority holds the certificates that sign the peers' certificates.
	Authority string
	// Names are accepted in a peer's certificate in place of the peer's own
	// name, for fleets that share one certificate.
	Names []string
}

// fileState tells whether a file changed.
type fileState struct {
	modified time.Time
	size     int64
}

// material is what was read from one state of the files.
type material struct {
	certificate tls.Certificate
	roots       *x509.CertPool
	state       [3]fileState
}

// tlsStore reads the files on demand. It is safe for concurrent use.
type tlsStore struct {
	files  TLSFiles
	logger *eventlog.Logger

	mu   sync.Mutex
	last *material
}

func newTLSStore(files TLSFiles, logger *eventlog.Logger) (*tlsStore, error) {
	t := &tlsStore{files: files, logger: logger}
	read, err := t.read()
	if err != nil {
		return nil, err
	}
	t.last = read
	return t, nil
}

// current returns what the files hold. While they cannot be read, for example
// halfway through their replacement, the previous content stays in use.
func (t *tlsStore) current() *material {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, err := t.state()
	if err == nil && state == t.last.state {
		return t.last
	}
	read, err := t.read()
	if err != nil {
		t.logger.EmitError(eventlog.SessionDown, err, eventlog.Fields{"reason": "TLS files kept from before"})
		return t.last
	}
	t.last = read
	return read
}

func (t *tlsStore) state() ([3]fileState, error) {
	var state [3]fileState
	for i, path := range []string{t.files.Certificate, t.files.Key, t.files.Authority} {
		info, err := os.Stat(path)
		if err != nil {
			return state, fault.Wrap(err, "peer.tls", path)
		}
		state[i] = fileState{modified: info.ModTime(), size: info.Size()}
	}
	return state, nil
}

func (t *tlsStore) read() (*material, error) {
	state, err := t.state()
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
	return &material{certificate: certificate, roots: roots, state: state}, nil
}

// client returns the configuration to dial a peer with. The peer's chain and
// name are checked in VerifyConnection, since the standard check knows one
// server name only and not the list.
func (t *tlsStore) client(name string) *tls.Config {
	now := t.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{now.certificate},
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			if err := verifyChain(state, now.roots, x509.ExtKeyUsageServerAuth); err != nil {
				return err
			}
			return t.checkName(state, name)
		},
	}
}

// server returns the configuration for one accepted connection. The name is
// checked when Hello has told it.
func (t *tlsStore) server() *tls.Config {
	now := t.current()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{now.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, now.roots, x509.ExtKeyUsageClientAuth)
		},
	}
}

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

// checkName accepts a certificate whose names hold the peer's name or a name of
// the list.
func (t *tlsStore) checkName(state tls.ConnectionState, name string) error {
	leaf := state.PeerCertificates[0]
	names := append([]string{leaf.Subject.CommonName}, leaf.DNSNames...)
	for _, n := range names {
		if n != "" && (n == name || slices.Contains(t.files.Names, n)) {
			return nil
		}
	}
	return fault.New("peer.tls", name, "the certificate does not hold the peer's name")
}
