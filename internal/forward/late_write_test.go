package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an answer that can't be written any more, so that the caller gets nothing: the process of the entry
// had paused past the deadline and the grace of the request, and its endpoint had answered meanwhile.
func TestAnswerAfterAPauseReachesTheCaller(t *testing.T) {
	g := NewWithT(t)
	body := make([]byte, maxBufferedResponseBytes)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a := &activeRequest{request: &Request{Deadline: time.Now().Add(-2 * writeGrace)}, writer: w}
		g.Expect(http.NewResponseController(w).SetWriteDeadline(a.request.Deadline.Add(writeGrace))).To(Succeed()) // as Serve does
		a.writeResponse(&http.Response{StatusCode: http.StatusOK, Header: http.Header{}}, body)
	}))
	defer server.Close()
	response, err := http.Get(server.URL)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received).To(HaveLen(len(body)))
}
