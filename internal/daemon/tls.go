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

// certificateReloadInterval is the time between two reads of the certificate files.
const certificateReloadInterval = 30 * time.Second

// TLSError reports that a file of the TLS settings can't be used.
type TLSError struct {
	File  string
	Cause error // nil if the file holds no certificate
}

func (e *TLSError) Error() string {
	if e.Cause == nil {
		return "tls: " + e.File + " holds no certificate"
	}
	return "tls: " + e.File + ": " + e.Cause.Error()
}

func (e *TLSError) Unwrap() error { return e.Cause }

// LoadTLS returns the TLS configuration of listeners and connections, or nil if
// the settings name no certificate. With a CA, both sides must present a
// certificate signed by it. Changed certificate files are reloaded without a
// restart. An error is a *TLSError.
func LoadTLS(s settings.TLS) (*tls.Config, error) {
	if s.Certificate == "" {
		return nil, nil
	}
	reloader := &certificateReloader{settings: s, now: time.Now}
	if _, err := reloader.certificate(); err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return reloader.certificate() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return reloader.certificate() },
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

// callerTLS returns the TLS configuration of the callers' listener, which asks
// for no client certificate: callers authenticate with an API key.
func callerTLS(config *tls.Config) *tls.Config {
	if config == nil {
		return nil
	}
	callers := config.Clone()
	callers.ClientAuth = tls.NoClientCert
	callers.ClientCAs = nil
	return callers
}

// loadCA reads the CA certificates that peer certificates are verified against.
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

// certificateReloader reloads the certificate files every
// certificateReloadInterval. If a read fails, it keeps the current certificate.
type certificateReloader struct {
	settings  settings.TLS
	now       func() time.Time
	mu        sync.Mutex
	current   *tls.Certificate
	checkedAt time.Time
}

// certificate returns the current certificate, reloading it if due. It fails
// only if no certificate was ever loaded.
func (c *certificateReloader) certificate() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && c.now().Sub(c.checkedAt) < certificateReloadInterval {
		return c.current, nil
	}
	loaded, err := tls.LoadX509KeyPair(c.settings.Certificate, c.settings.Key)
	if err != nil && c.current == nil {
		return nil, errors.WithStack(&TLSError{File: c.settings.Certificate, Cause: err})
	}
	if err == nil {
		c.current = &loaded
	}
	c.checkedAt = c.now()
	return c.current, nil
}
