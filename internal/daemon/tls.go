package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/settings"
)

// certificateAge is how long a certificate is used before its files are
// looked at again.
const certificateAge = 30 * time.Second

// TLSError says that a file of the TLS settings can't be used.
type TLSError struct {
	File  string
	Cause error // nil: the file holds no certificate
}

// Error names the file.
func (e *TLSError) Error() string {
	if e.Cause == nil {
		return "tls: " + e.File + " holds no certificate"
	}
	return "tls: " + e.File + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *TLSError) Unwrap() error { return e.Cause }

// LoadTLS builds the configuration of listeners and connections, nil if the
// settings name no certificate. With a CA both sides must show a certificate
// that it signed. New certificate files are taken up without a restart. An
// error is a *TLSError.
func LoadTLS(s settings.TLS) (*tls.Config, error) {
	if s.Certificate == "" {
		return nil, nil
	}
	source := &certificateSource{settings: s, now: time.Now}
	if _, err := source.get(); err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return source.get() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return source.get() },
	}
	if s.CA == "" {
		return config, nil
	}
	pool, err := loadCA(s.CA)
	if err != nil {
		return nil, err
	}
	config.RootCAs = pool
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// callerTLS is the configuration of the callers' listener. Callers show a key,
// not a certificate.
func callerTLS(config *tls.Config) *tls.Config {
	if config == nil {
		return nil
	}
	callers := config.Clone()
	callers.ClientAuth = tls.NoClientCert
	callers.ClientCAs = nil
	return callers
}

// loadCA reads the certificates that sign the peers'.
func loadCA(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(&TLSError{File: file, Cause: err})
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.WithStack(&TLSError{File: file})
	}
	return pool, nil
}

// certificateSource reads the certificate again once it is old enough. A
// failed read keeps the one in use.
type certificateSource struct {
	settings settings.TLS
	now      func() time.Time
	mu       sync.Mutex
	loaded   *tls.Certificate
	at       time.Time
}

// get returns the certificate in use.
func (c *certificateSource) get() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded != nil && c.now().Sub(c.at) < certificateAge {
		return c.loaded, nil
	}
	fresh, err := tls.LoadX509KeyPair(c.settings.Certificate, c.settings.Key)
	if err != nil && c.loaded == nil {
		return nil, errors.WithStack(&TLSError{File: c.settings.Certificate, Cause: err})
	}
	if err == nil {
		c.loaded = &fresh
	}
	c.at = c.now()
	return c.loaded, nil
}
