package dispatch

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that belong to one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// privatePrefix begins the names that routers and agents keep to themselves.
const privatePrefix = "Tk-"

// CopyHeaders adds the end-to-end headers of src to dst. Headers of one
// connection, those that Connection names, and this system's own are left out.
func CopyHeaders(dst, src http.Header) {
	for name, values := range src {
		if !strings.HasPrefix(name, privatePrefix) {
			dst[name] = append([]string(nil), values...)
		}
	}
	for _, line := range src["Connection"] {
		for _, name := range strings.Split(line, ",") {
			dst.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		dst.Del(name)
	}
	dst.Del(HeaderExecution)
}
