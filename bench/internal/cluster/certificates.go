package cluster

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
	"time"

	"github.com/marjoramflow/marjoramflow/settings"
)

// certificateLifetime is longer than any run.
const certificateLifetime = 24 * time.Hour

// Authority is a certificate authority for tests.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority makes an authority with its own key.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := certificateTemplate(name)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate: certificate, key: key}, err
}

func certificateTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certificateLifetime),
	}, nil
}

// Issue writes a new certificate and key for a daemon, signed by a, and the
// certificates of the authorities that the daemon trusts. It replaces existing
// files one by one, as certificate renewal on a VM does.
func (a *Authority) Issue(dir, daemon string, trusted ...*Authority) (settings.TLS, error) {
	files := settings.TLS{
		Certificate: filepath.Join(dir, daemon+"-certificate.pem"),
		Key:         filepath.Join(dir, daemon+"-key.pem"),
		Authority:   filepath.Join(dir, daemon+"-authority.pem"),
	}
	der, keyDER, err := a.sign(daemon)
	if err != nil {
		return files, err
	}
	var roots []byte
	for _, authority := range trusted {
		roots = append(roots, encodePEM("CERTIFICATE", authority.certificate.Raw)...)
	}
	contents := map[string][]byte{
		files.Certificate: encodePEM("CERTIFICATE", der),
		files.Key:         encodePEM("PRIVATE KEY", keyDER),
		files.Authority:   roots,
	}
	for path, data := range contents {
		if err := replaceFile(path, data); err != nil {
			return files, err
		}
	}
	return files, nil
}

// sign returns a certificate and its private key in DER form.
func (a *Authority) sign(daemon string) (certificate, key []byte, err error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template, err := certificateTemplate(daemon)
	if err != nil {
		return nil, nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames = []string{daemon}
	certificate, err = x509.CreateCertificate(rand.Reader, template, a.certificate, &privateKey.PublicKey, a.key)
	if err != nil {
		return nil, nil, err
	}
	key, err = x509.MarshalPKCS8PrivateKey(privateKey)
	return certificate, key, err
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}

// replaceFile replaces a file atomically: it writes a temporary file and renames it.
func replaceFile(path string, data []byte) error {
	temporaryPath := path + ".new"
	if err := os.WriteFile(temporaryPath, data, 0o600); err != nil {
		return err
	}
	return os.Rename(temporaryPath, path)
}
