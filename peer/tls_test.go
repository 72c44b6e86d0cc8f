package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newAuthority(t testing.TB) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{certificate: certificate, key: key, pem: encodePEM("CERTIFICATE", der)}
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}

// writeFiles writes a certificate for name, signed by the authority, its key and the
// trusted authorities.
func (a *authority) writeFiles(t testing.TB, files TLSFiles, name string, trusted ...*authority) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	var roots []byte
	for _, t := range trusted {
		roots = append(roots, t.pem...)
	}
	assert.NilError(t, os.WriteFile(files.Certificate, encodePEM("CERTIFICATE", der), 0o600))
	assert.NilError(t, os.WriteFile(files.Key, encodePEM("EC PRIVATE KEY", keyDER), 0o600))
	assert.NilError(t, os.WriteFile(files.Authority, roots, 0o600))
}

func tlsFilePaths(t testing.TB) TLSFiles {
	dir := t.TempDir()
	return TLSFiles{
		Certificate: filepath.Join(dir, "daemon.pem"),
		Key:         filepath.Join(dir, "daemon.key"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
}

func withTLS(files TLSFiles) nodeOption {
	return func(c *Config, _ *node) { c.TLS = &files }
}

// newTLSNode starts a mesh whose certificate is for certificateName. It also accepts
// peers with a certificate for one of names.
func newTLSNode(t testing.TB, a *authority, name, certificateName string, names ...string) *node {
	files := tlsFilePaths(t)
	files.Names = names
	a.writeFiles(t, files, certificateName, a)
	return newNode(t, name, withTLS(files))
}

// Guards against sessions that are not encrypted or not authenticated.
func TestSessionOverMutualTLS(t *testing.T) {
	ca := newAuthority(t)
	a, b := newTLSNode(t, ca, "a", "a"), newTLSNode(t, ca, "b", "b")
	connect(t, a, b)
	sendAll(t, a, b, 2000)
	waitFor(t, 5*time.Second, "all messages arrive", func() bool { return len(b.receivedFrom("a")) == 2000 })
}

// Guards against refusing sessions in a fleet that shares one certificate.
func TestSharedCertificateNameIsAccepted(t *testing.T) {
	ca := newAuthority(t)
	a := newTLSNode(t, ca, "a", "daemon.example", "daemon.example")
	b := newTLSNode(t, ca, "b", "daemon.example", "daemon.example")
	connect(t, a, b)
}

// Guards against accepting a peer whose certificate has another name or another
// authority, or that uses no TLS.
func TestWrongCertificateIsRefused(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	cases := map[string]func(t *testing.T) (a, b *node){
		"the dialled daemon proves another name": func(t *testing.T) (a, b *node) {
			return newTLSNode(t, ca, "a", "a"), newTLSNode(t, ca, "b", "c")
		},
		"the dialling daemon proves another name": func(t *testing.T) (a, b *node) {
			return newTLSNode(t, ca, "a", "c"), newTLSNode(t, ca, "b", "b")
		},
		"the dialled daemon has another authority": func(t *testing.T) (a, b *node) {
			return newTLSNode(t, ca, "a", "a"), newTLSNode(t, other, "b", "b")
		},
		"only the dialling daemon has another authority": func(t *testing.T) (a, b *node) {
			files := tlsFilePaths(t)
			other.writeFiles(t, files, "a", ca)
			return newNode(t, "a", withTLS(files)), newTLSNode(t, ca, "b", "b")
		},
		"the dialling daemon uses plain TCP": func(t *testing.T) (a, b *node) {
			return newNode(t, "a"), newTLSNode(t, ca, "b", "b")
		},
	}
	for name, build := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := build(t)
			a.SetPeers([]Address{b.address()})
			start := time.Now()
			a.Connect("b")
			waitFor(t, 4*time.Second, "several dials were tried", func() bool {
				return a.Stats().WireOut > 0 && time.Since(start) > 500*time.Millisecond
			})
			assert.Assert(t, !a.hasSession("b") && !b.hasSession("a"))
			b.mu.Lock()
			defer b.mu.Unlock()
			assert.Equal(t, len(b.events), 0)
		})
	}
}

// Guards against renewed certificates being used only after a restart. New sessions
// use the new files, and sessions that are up stay.
func TestChangedFilesAreReadAgain(t *testing.T) {
	old, renewed := newAuthority(t), newAuthority(t)
	aFiles, bFiles, cFiles := tlsFilePaths(t), tlsFilePaths(t), tlsFilePaths(t)
	old.writeFiles(t, aFiles, "a", old)
	old.writeFiles(t, bFiles, "b", old)
	renewed.writeFiles(t, cFiles, "c", renewed)
	a, b, c := newNode(t, "a", withTLS(aFiles)), newNode(t, "b", withTLS(bFiles)), newNode(t, "c", withTLS(cFiles))
	connect(t, a, b)
	c.SetPeers([]Address{a.address()})
	c.Connect("a")
	waitFor(t, 3*time.Second, "the unknown authority was tried", func() bool { return c.Stats().WireOut > 0 })
	assert.Assert(t, !c.hasSession("a"))

	renewed.writeFiles(t, aFiles, "a", old, renewed)
	waitFor(t, 6*time.Second, "the renewed files are used", func() bool { return c.hasSession("a") && a.hasSession("c") })
	assert.Assert(t, a.hasSession("b"), "the session from before the renewal ended")
	assert.NilError(t, os.WriteFile(aFiles.Key, []byte("half written"), 0o600))
	d := newTLSNode(t, renewed, "d", "d")
	d.SetPeers([]Address{a.address()})
	d.Connect("a")
	waitFor(t, 4*time.Second, "the previous content stays in use", func() bool { return d.hasSession("a") })
}
