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
	return &authority{certificate: certificate, key: key, pem: encode("CERTIFICATE", der)}
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// write stores a certificate for name, its key and the trusted authorities.
func (a *authority) write(t testing.TB, files TLSFiles, name string, trusted ...*authority) {
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
	assert.NilError(t, os.WriteFile(files.Certificate, encode("CERTIFICATE", der), 0o600))
	assert.NilError(t, os.WriteFile(files.Key, encode("EC PRIVATE KEY", keyDER), 0o600))
	assert.NilError(t, os.WriteFile(files.Authority, roots, 0o600))
}

func filesIn(t testing.TB) TLSFiles {
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

func tlsNode(t testing.TB, a *authority, name, certificateName string, names ...string) *node {
	files := filesIn(t)
	files.Names = names
	a.write(t, files, certificateName, a)
	return newNode(t, name, withTLS(files))
}

// Guards against sessions that are not encrypted or not authenticated.
func TestSessionOverMutualTLS(t *testing.T) {
	ca := newAuthority(t)
	a, b := tlsNode(t, ca, "a", "a"), tlsNode(t, ca, "b", "b")
	connect(t, a, b)
	sendAll(t, a, b, 2000)
	waitFor(t, 5*time.Second, "all messages arrive", func() bool { return len(b.messages("a")) == 2000 })
}

// Guards against a fleet with one shared certificate being locked out.
func TestSharedNameFromListIsAccepted(t *testing.T) {
	ca := newAuthority(t)
	a := tlsNode(t, ca, "a", "daemon.example", "daemon.example")
	b := tlsNode(t, ca, "b", "daemon.example", "daemon.example")
	connect(t, a, b)
}

// Guards against a peer that proves another name, another authority or nothing.
func TestWrongCertificateIsRefused(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	cases := map[string]func(t *testing.T) (a, b *node){
		"the dialled daemon proves another name": func(t *testing.T) (a, b *node) {
			return tlsNode(t, ca, "a", "a"), tlsNode(t, ca, "b", "c")
		},
		"the dialling daemon proves another name": func(t *testing.T) (a, b *node) {
			return tlsNode(t, ca, "a", "c"), tlsNode(t, ca, "b", "b")
		},
		"the dialled daemon has another authority": func(t *testing.T) (a, b *node) {
			return tlsNode(t, ca, "a", "a"), tlsNode(t, other, "b", "b")
		},
		"only the dialling daemon has another authority": func(t *testing.T) (a, b *node) {
			files := filesIn(t)
			other.write(t, files, "a", ca)
			return newNode(t, "a", withTLS(files)), tlsNode(t, ca, "b", "b")
		},
		"the dialling daemon uses plain TCP": func(t *testing.T) (a, b *node) {
			return newNode(t, "a"), tlsNode(t, ca, "b", "b")
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
			assert.Assert(t, !a.has("b") && !b.has("a"))
			b.mu.Lock()
			defer b.mu.Unlock()
			assert.Equal(t, len(b.events), 0)
		})
	}
}

// Guards against a restart being needed when the certificates are renewed: new
// sessions use the new files, and sessions that are up stay.
func TestChangedFilesAreReadAgain(t *testing.T) {
	old, renewed := newAuthority(t), newAuthority(t)
	aFiles, bFiles, cFiles := filesIn(t), filesIn(t), filesIn(t)
	old.write(t, aFiles, "a", old)
	old.write(t, bFiles, "b", old)
	renewed.write(t, cFiles, "c", renewed)
	a, b, c := newNode(t, "a", withTLS(aFiles)), newNode(t, "b", withTLS(bFiles)), newNode(t, "c", withTLS(cFiles))
	connect(t, a, b)
	c.SetPeers([]Address{a.address()})
	c.Connect("a")
	waitFor(t, 3*time.Second, "the unknown authority was tried", func() bool { return c.Stats().WireOut > 0 })
	assert.Assert(t, !c.has("a"))

	renewed.write(t, aFiles, "a", old, renewed)
	waitFor(t, 6*time.Second, "the renewed files are used", func() bool { return c.has("a") && a.has("c") })
	assert.Assert(t, a.has("b"), "the session from before the renewal ended")
	assert.NilError(t, os.WriteFile(aFiles.Key, []byte("half written"), 0o600))
	d := tlsNode(t, renewed, "d", "d")
	d.SetPeers([]Address{a.address()})
	d.Connect("a")
	waitFor(t, 4*time.Second, "the previous content stays in use", func() bool { return d.has("a") })
}
