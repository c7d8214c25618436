package server

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"
)

// TLSFiles are the paths of the PEM files for mutual TLS. Either all or none must be
// set.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string // certificates of the authorities that the peer's certificate must be signed by
}

// Enabled reports whether any file is set.
func (f TLSFiles) Enabled() bool { return f.Certificate != "" || f.Key != "" || f.Authority != "" }

// Config loads the files and returns a TLS configuration for servers and clients, or
// nil if no file is set. It returns an error if only some files are set or a file
// cannot be read.
func (f TLSFiles) Config() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	if f.Certificate == "" || f.Key == "" || f.Authority == "" {
		return nil, trace.BadParameter("mutual TLS needs a certificate, a key and a certificate authority; at least one of them is not set")
	}
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, trace.Wrap(err, "load certificate %s", f.Certificate)
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, trace.Wrap(err, "read certificate authority %s", f.Authority)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("certificate authority %s contains no PEM certificate", f.Authority)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
		RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		NextProtos: []string{"h2", "http/1.1"},
	}, nil
}
