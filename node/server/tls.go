package server

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"
)

// TLSFiles names the files of mutual TLS; all are PEM. Either all are set or none.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string // certificates that the other side must be signed by
}

// Enabled reports whether any file is set.
func (f TLSFiles) Enabled() bool { return f.Certificate != "" || f.Key != "" || f.Authority != "" }

// Config loads the files into a configuration for servers and clients. It
// returns nil if no file is set.
func (f TLSFiles) Config() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	if f.Certificate == "" || f.Key == "" || f.Authority == "" {
		return nil, trace.BadParameter("mutual TLS needs a certificate, a key and an authority")
	}
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, trace.Wrap(err, "load certificate %s", f.Certificate)
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, trace.Wrap(err, "read authority %s", f.Authority)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("%s holds no certificate", f.Authority)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
		RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		NextProtos: []string{"h2", "http/1.1"},
	}, nil
}
