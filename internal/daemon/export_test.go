package daemon

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/settings"
)

const CertificateReloadInterval = certificateReloadInterval

// CertificateGetter returns the certificate callback of a reloader that uses now
// as its clock.
func CertificateGetter(s settings.TLS, now func() time.Time) func() (*tls.Certificate, error) {
	return (&certificateReloader{settings: s, now: now}).certificate
}

// SetStopTimeout replaces the stop timeout of a daemon.
func SetStopTimeout(d *Daemon, timeout time.Duration) {
	d.settings.Process.StopTimeout = settings.Duration(timeout)
}

// AgentHTTPClient returns the client with which a router calls agents.
func AgentHTTPClient() *http.Client { return (&Daemon{}).agentHTTPClient() }
