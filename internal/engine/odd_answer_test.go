package engine_test

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/url"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/answer/answertest"
	"github.com/trefoilkeel/trefoilkeel/internal/engine"
)

// Guards against answers of engines in trouble whose head is none, which agents passed on.
func TestOddHeadIsNoResponse(t *testing.T) {
	heads := maps.Clone(answertest.OddHeads)
	maps.Copy(heads, answertest.FoldedHeads)
	for name, answer := range heads {
		t.Run(name, func(t *testing.T) {
			client := engine.New(&url.URL{Scheme: "http", Host: answertest.Serve(t, answer)})
			response, err := client.Do(context.Background(), &engine.Call{ID: "a1", Method: http.MethodPost, RequestURI: "/x", Body: []byte("body")})
			if err == nil {
				_ = response.Body.Close()
			}
			var noResponse *engine.NoResponseError
			NewWithT(t).Expect(errors.As(err, &noResponse)).To(BeTrue(), "%v", err)
		})
	}
}

// Guards against odd trailers, which make the end of an answer uncertain.
func TestOddTrailerIsNoCompleteResponse(t *testing.T) {
	for name, answer := range answertest.OddTrailers {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			client := engine.New(&url.URL{Scheme: "http", Host: answertest.Serve(t, answer)})
			response, err := client.Do(context.Background(), &engine.Call{ID: "a1", Method: http.MethodPost, RequestURI: "/x", Body: []byte("body")})
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAll(response.Body)
			g.Expect(response.Body.Close()).To(Succeed())
			g.Expect(err).To(HaveOccurred())
		})
	}
}
