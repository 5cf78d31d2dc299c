package daemon

import (
	"crypto/tls"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/settings"
)

// CertificateAge is when files are looked at again.
const CertificateAge = certificateAge

// CertificateSource reads the files under another clock.
func CertificateSource(s settings.TLS, now func() time.Time) func() (*tls.Certificate, error) {
	return (&certificateSource{settings: s, now: now}).get
}
