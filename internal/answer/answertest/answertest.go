// Package answertest has odd answers of servers, for the tests of all clients that read answers.
package answertest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// soundAnswer follows odd ones on the same connection, and must not be read as the answer to the request.
const soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"

// OddHeads are answers that are none, by what their head holds. FoldedHeads can be told from sound ones only in
// the bytes of the head.
var OddHeads = map[string]string{
	"status 000":                       "HTTP/1.1 000 Odd\r\nContent-Length: 3\r\n\r\nodd",
	"status 000 before a sound answer": "HTTP/1.1 000 Odd\r\n\r\n" + soundAnswer,
	"status 099 before a sound answer": "HTTP/1.1 099 Odd\r\n\r\n" + soundAnswer,
	"status 600":                       "HTTP/1.1 600 Odd\r\nContent-Length: 3\r\n\r\nodd",
	"status 999":                       "HTTP/1.1 999 Odd\r\nContent-Length: 3\r\n\r\nodd",
	"status 20":                        "HTTP/1.1 20 Odd\r\nContent-Length: 3\r\n\r\nodd",
	"status 0200":                      "HTTP/1.1 0200 Odd\r\nContent-Length: 3\r\n\r\nodd",
	"status +20":                       "HTTP/1.1 +20 Odd\r\nContent-Length: 3\r\n\r\nodd",
	"blank in a name":                  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX Odd: v\r\n\r\nodd",
	"blank after a name":               "HTTP/1.1 200 OK\r\nX-Odd : v\r\nContent-Length: 3\r\n\r\nodd",
	"blank after the length":           "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nodd",
	"tab in a name":                    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX\tOdd: v\r\n\r\nodd",
	"control byte in a name":           "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX\x01Odd: v\r\n\r\nodd",
	"no name":                          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n: v\r\n\r\nodd",
	"no colon":                         "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Odd\r\n\r\nodd",
	"byte 0 in a value":                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Odd: \x00\r\n\r\nodd",
	"blank in a name, interim":         "HTTP/1.1 103 Early Hints\r\nX Odd: v\r\n\r\n" + soundAnswer,
}

// FoldedHeads have lines that begin with a blank: names with a blank before them, which read as a part of the
// line before.
var FoldedHeads = map[string]string{
	"blank before the length": "HTTP/1.1 200 OK\r\nX-Odd: v\r\n Content-Length: 3\r\n\r\nodd",
	"tab before a name":       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Odd: v\r\n\tX-Other: w\r\n\r\nodd",
}

// OddTrailers are answers with an odd trailer.
var OddTrailers = map[string]string{
	"blank in a name":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\nX Odd: v\r\n\r\n",
	"blank after a name": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Odd\r\n\r\n3\r\nodd\r\n0\r\nX-Odd : v\r\n\r\n",
}

// Serve starts a server that reads a request on each connection, writes the answer and ends the connection. It
// returns the server's address.
func Serve(t testing.TB, answer string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, answer)
			}()
		}
	}()
	return l.Addr().String()
}
