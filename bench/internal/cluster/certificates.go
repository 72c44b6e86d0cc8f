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

// certificateLife is longer than any run.
const certificateLife = 24 * time.Hour

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
		NotAfter:     now.Add(certificateLife),
	}, nil
}

// Issue writes a new certificate and key for a daemon, signed by a, and the
// authorities that the daemon trusts. Existing files are replaced one by one, as
// a renewal on a VM does it.
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
	for _, t := range trusted {
		roots = append(roots, encodePEM("CERTIFICATE", t.certificate.Raw)...)
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
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
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
	certificate, err = x509.CreateCertificate(rand.Reader, template, a.certificate, &private.PublicKey, a.key)
	if err != nil {
		return nil, nil, err
	}
	key, err = x509.MarshalPKCS8PrivateKey(private)
	return certificate, key, err
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// replaceFile writes a file and moves it into place.
func replaceFile(path string, data []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
