package dispatch

import (
	"mime"
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection or are set anew by the sender.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// internalPrefix starts the names of headers that are used only between routers and
// agents.
const internalPrefix = "Tk-"

// CopyEndToEndHeaders copies the end-to-end headers of src to dst, where they replace
// headers of the same name. It omits hop-by-hop headers, those that the Connection
// header names, and those that routers and agents set.
func CopyEndToEndHeaders(dst, src http.Header) {
	for name, values := range src {
		if !strings.HasPrefix(name, internalPrefix) {
			dst[name] = append([]string(nil), values...)
		}
	}
	for _, value := range src["Connection"] {
		for _, name := range strings.Split(value, ",") {
			dst.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		dst.Del(name)
	}
	dst.Del(HeaderExecution)
}

// IsEventStream reports whether the content type is that of server-sent events.
func IsEventStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}
