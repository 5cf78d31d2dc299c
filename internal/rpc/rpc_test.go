package rpc_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
)

func TestRPC(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rpc")
}

// serve starts a server. It returns the URL, a function that stops the server,
// and a channel that receives the result of rpc.Serve.
func serve(h http.HandlerFunc) (url string, stop func(), result <-chan error) {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	done := make(chan error, 1)
	go func() { done <- rpc.Serve(ctx, l, h, nil, slog.New(slog.DiscardHandler)) }()
	return "http://" + l.Addr().String(), cancel, done
}

func get(c *http.Client, url string) string {
	GinkgoHelper()
	response, err := c.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

var _ = Describe("a server", func() {
	writeProtocol := func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) }

	It("serves HTTP/1.1 and unencrypted HTTP/2", func() {
		url, _, _ := serve(writeProtocol)
		Expect(get(&http.Client{Transport: &http.Transport{}}, url)).To(Equal("HTTP/1.1"))
		Expect(get(rpc.Client(nil), url)).To(Equal("HTTP/2.0"))
	})

	It("refuses a header over the size limit", func() {
		url, _, _ := serve(writeProtocol)
		request, err := http.NewRequest(http.MethodGet, url, nil)
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("X-Long", strings.Repeat("x", 64<<10))
		response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	It("completes an open request when it stops", func() {
		handlerEntered, finish := make(chan struct{}), make(chan struct{})
		url, stop, result := serve(func(w http.ResponseWriter, _ *http.Request) {
			close(handlerEntered)
			<-finish
			_, _ = io.WriteString(w, "whole")
		})
		client := rpc.Client(nil)
		body := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			body <- get(client, url)
		}()
		<-handlerEntered
		stop()
		Consistently(result, "50ms").ShouldNot(Receive())
		close(finish)
		Expect(<-body).To(Equal("whole"))
		client.CloseIdleConnections()
		Eventually(result, "10s").Should(Receive(BeNil()))
	})
})
