package answer

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/cockroachdb/errors"
)

// UndelimitedError reports an answer that says neither how long it is nor where it ends, so that a part of it can't be
// told from all of it.
type UndelimitedError struct{}

func (e *UndelimitedError) Error() string { return "the answer has neither a length nor chunks" }

// Transport checks the answers that a round tripper reads.
type Transport struct {
	Next http.RoundTripper
	// RequiresEnd refuses HTTP/1 answers that end with their connection.
	RequiresEnd bool
}

// RoundTrip sends a request once. Errors are those of the next round tripper, *HeadError or *UndelimitedError; the
// request was sent with the latter two. Reading the body fails with a *HeadError if its trailer is none.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	traced := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*scannedConn); ok {
				c.expectHead()
			}
		},
		Got1xxResponse: func(status int, fields textproto.MIMEHeader) error { return CheckHead(status, http.Header(fields)) },
	})
	response, err := t.Next.RoundTrip(r.WithContext(traced))
	if err != nil {
		return nil, err
	}
	if err := t.check(r, response); err != nil {
		_ = response.Body.Close()
		t.CloseIdleConnections() // the sound answer may follow, and without a body the connection is idle by now
		return nil, errors.WithStack(err)
	}
	response.Body = &checkedBody{ReadCloser: response.Body, response: response}
	return response, nil
}

func (t *Transport) check(r *http.Request, response *http.Response) error {
	delimited := response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || r.Method == http.MethodHead || response.ProtoMajor != 1
	if t.RequiresEnd && !delimited {
		return &UndelimitedError{}
	}
	return CheckHead(response.StatusCode, response.Header)
}

// CloseIdleConnections closes the idle connections of the next round tripper. http.Client calls it too.
func (t *Transport) CloseIdleConnections() {
	if next, ok := t.Next.(interface{ CloseIdleConnections() }); ok {
		next.CloseIdleConnections()
	}
}

// checkedBody checks the trailer at the end of a body.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if trailerErr := CheckFields(b.response.Trailer); trailerErr != nil {
			return n, errors.WithStack(trailerErr)
		}
	}
	return n, err
}
