// Package tlstest issues short-lived certificates for tests.
package tlstest

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

	"github.com/rotisserie/eris"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// validity is how long certificates are valid after their issue. They are also valid in the hour before it.
const validity = 24 * time.Hour

// Authority is a certificate authority whose key is kept in memory.
type Authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	pem         []byte
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority(name string) (*Authority, error) {
	template := newTemplate(name)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate key")
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, eris.Wrap(err, "create authority")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "parse authority")
	}
	return &Authority{key: key, certificate: certificate, pem: encodePEM("CERTIFICATE", der)}, nil
}

func newTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
	}
}

// Write issues a certificate for the name and 127.0.0.1, and writes certificate.pem, key.pem and authority.pem to folder.
func (a *Authority) Write(folder, name string) (*siskinv1.TlsFiles, error) {
	template := newTemplate(name)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.DNSNames = []string{name}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate key")
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return nil, eris.Wrap(err, "create certificate")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, eris.Wrap(err, "encode key")
	}
	files := &siskinv1.TlsFiles{
		Certificate: filepath.Join(folder, "certificate.pem"),
		Key:         filepath.Join(folder, "key.pem"),
		Authority:   filepath.Join(folder, "authority.pem"),
	}
	contents := map[string][]byte{
		files.Certificate: encodePEM("CERTIFICATE", der),
		files.Key:         encodePEM("PRIVATE KEY", private),
		files.Authority:   a.pem,
	}
	for path, content := range contents {
		if err := os.WriteFile(path, content, 0o600); err != nil {
			return nil, eris.Wrap(err, "write PEM file")
		}
	}
	return files, nil
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}
