package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/jsoncheck"
)

// checkTLS checks that the files can be read and match each other. It does not check the validity period: that depends on the
// time of the check, and the files are reloaded when they change.
func checkTLS(f *jsoncheck.Findings, path string, files *siskinv1.TlsFiles, mutual bool) {
	if files == nil {
		return
	}
	certificate := readFile(f, path+".certificate", files.GetCertificate())
	key := readFile(f, path+".key", files.GetKey())
	var pool *x509.CertPool
	if mutual || files.GetAuthority() != "" {
		pool = readAuthority(f, path+".authority", files.GetAuthority())
	}
	if certificate == nil || key == nil {
		return
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		f.Add(path+".certificate", "does not match the key: %v", err)
		return
	}
	if mutual && pool != nil && !isSignedBy(pair, pool) {
		f.Add(path+".certificate", "is not signed by the authority, so other entry VMs would refuse it")
	}
}

func readFile(f *jsoncheck.Findings, path, name string) []byte {
	if name == "" {
		f.Add(path, "is missing")
		return nil
	}
	content, err := os.ReadFile(name)
	if err != nil {
		f.Add(path, "can't be read: %v", err)
		return nil
	}
	return content
}

func readAuthority(f *jsoncheck.Findings, path, name string) *x509.CertPool {
	content := readFile(f, path, name)
	if content == nil {
		return nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		f.Add(path, "contains no PEM certificate")
		return nil
	}
	return pool
}

func isSignedBy(pair tls.Certificate, pool *x509.CertPool) bool {
	intermediates := x509.NewCertPool()
	for _, der := range pair.Certificate[1:] {
		if certificate, err := x509.ParseCertificate(der); err == nil {
			intermediates.AddCert(certificate)
		}
	}
	_, err := pair.Leaf.Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, CurrentTime: pair.Leaf.NotBefore,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err == nil
}
