package server

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writeTLSFiles creates a certificate authority and a certificate signed by it, and
// writes them to dir.
func writeTLSFiles(t *testing.T, dir string) TLSFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "instance"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: authority.NotBefore, NotAfter: authority.NotAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	f := TLSFiles{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "ca.pem")}
	for file, template := range map[string]*x509.Certificate{f.Authority: authority, f.Certificate: leaf} {
		der, err := x509.CreateCertificate(rand.Reader, template, authority, &key.PublicKey, key)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), 0o600))
	return f
}

// Guards against a listener that accepts connections without a certificate, or with
// one of another authority, and against clients that fall back to HTTP/1.1 over TLS.
func TestMutualTLS(t *testing.T) {
	config, err := writeTLSFiles(t, t.TempDir()).Config()
	assert.NilError(t, err)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) })
	s, err := Listen("127.0.0.1:0", handler, config)
	assert.NilError(t, err)
	s.Start()
	defer s.Close()
	resp, err := NewClient(Dialer(config)).Get("http://" + s.Address())
	assert.NilError(t, err)
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	assert.Equal(t, string(body), "HTTP/2.0")

	other, err := writeTLSFiles(t, t.TempDir()).Config()
	assert.NilError(t, err)
	other.RootCAs = config.RootCAs
	_, err = NewClient(Dialer(other)).Get("http://" + s.Address())
	assert.Assert(t, err != nil, "a certificate of another authority was accepted")
	_, err = NewClient(Dialer(nil)).Get("http://" + s.Address())
	assert.Assert(t, err != nil, "a connection without TLS was accepted")
}

// Guards against a graceful stop that aborts a request in flight.
func TestStopWaitsForRequestsInFlight(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	s, err := Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-finish
		_, _ = io.WriteString(w, "whole")
	}), nil)
	assert.NilError(t, err)
	s.Start()
	got := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + s.Address())
		if err != nil {
			got <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		got <- string(body)
	}()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(t.Context()) }()
	close(finish)
	assert.Equal(t, <-got, "whole")
	assert.NilError(t, <-stopped)
}
