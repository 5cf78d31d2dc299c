package rpc_test

import (
	"io"
	"maps"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/answer/answertest"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
)

// Guards against odd and cut answers between the system's own processes that pass for answers. None of these
// processes ends an answer by its connection.
func TestOddAnswerIsAnError(t *testing.T) {
	answers := map[string]string{
		"no length":          "HTTP/1.1 200 OK\r\n\r\npart of the answer",
		"no length, interim": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\npart of the answer",
		"HTTP/1.0":           "HTTP/1.0 200 OK\r\n\r\npart of the answer",
	}
	maps.Copy(answers, answertest.OddHeads)
	maps.Copy(answers, answertest.FoldedHeads)
	for name, answer := range answertest.OddTrailers {
		answers["trailer, "+name] = answer
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			client := rpc.HTTP1Client(time.Second)
			response, err := client.Post("http://"+answertest.Serve(t, answer), "text/plain", http.NoBody)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}
