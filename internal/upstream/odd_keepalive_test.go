package upstream

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a timeout of an endpoint that wraps to another one.
func TestOddKeepAliveTimeouts(t *testing.T) {
	g := NewWithT(t)
	for _, value := range []string{"timeout=9223372036", "timeout=9223372037", "timeout=18446744075", "timeout=9223372036854775807", "timeout=100000000000, max=5"} {
		g.Expect(idleTimeout(http.Header{keepAliveHeader: {value}})).To(BeNumerically(">", time.Hour), value)
	}
	for _, value := range []string{"timeout=-1", "timeout=1e9", "timeout=", "timeout=9223372036854775808", "max=5", ""} {
		g.Expect(idleTimeout(http.Header{keepAliveHeader: {value}})).To(Equal(defaultIdleTimeout), value)
	}
	g.Expect(idleTimeout(http.Header{keepAliveHeader: {"timeout=0"}})).To(BeZero())
}
