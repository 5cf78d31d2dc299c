package daemon_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/trefoilkeel/trefoilkeel/internal/daemon"
	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

const riderKey = "demo-riders-key"

// system is an embedded system and its stand-ins. newSystem also applies the
// first ticket of examples/rally.
type system struct {
	*daemon.Embedded
	standins *daemon.StandinServers
}

func newSystem(ctx context.Context, routers int) *system {
	standins, endpoints, err := daemon.StartStandins()
	Expect(err).NotTo(HaveOccurred())
	e, err := daemon.StartEmbedded(daemon.EmbeddedOptions{Endpoints: endpoints, RouterCount: routers, Logger: slog.New(slog.DiscardHandler)})
	Expect(err).NotTo(HaveOccurred())
	s := &system{Embedded: e, standins: standins}
	Expect(s.WaitReady(ctx, s.submit(ctx))).To(Succeed())
	return s
}

// submit submits the first ticket and returns its revision.
func (s *system) submit(ctx context.Context) uint64 {
	revision, err := s.Submit(ctx, "../../examples/rally/ticket-001.toml")
	Expect(err).NotTo(HaveOccurred())
	return revision
}

func (s *system) stop() {
	Expect(s.Stop(context.Background())).To(Succeed())
	s.standins.Stop()
}

func (s *system) client() openai.Client {
	return openai.NewClient(option.WithBaseURL(s.Routers[0].RouterURL()+"/v1"), option.WithAPIKey(riderKey), option.WithMaxRetries(0))
}

func chatParams(tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "rally-text",
		MaxTokens: openai.Int(tokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("which stage is closed?")},
	}
}

var chatPrompt = standin.ChatPrompt([]standin.Message{{Role: "user", Content: "which stage is closed?"}})

var _ = Describe("an embedded system", func() {
	It("serves an ordinary OpenAI client with only its base URL and key changed", func(ctx SpecContext) {
		s := newSystem(ctx, 1)
		defer s.stop()
		client := s.client()

		completion, err := client.Chat.Completions.New(ctx, chatParams(12))
		Expect(err).NotTo(HaveOccurred())
		Expect(standin.VerifyAnswer(chatPrompt, completion.Choices[0].Message.Content, 12)).To(Succeed())

		stream := client.Chat.Completions.NewStreaming(ctx, chatParams(12))
		accumulated := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			Expect(accumulated.AddChunk(stream.Current())).To(BeTrue())
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(standin.VerifyAnswer(chatPrompt, accumulated.Choices[0].Message.Content, 12)).To(Succeed())

		unknown := chatParams(1)
		unknown.Model = "other"
		_, err = client.Chat.Completions.New(ctx, unknown)
		var refused *openai.Error
		Expect(err).To(BeAssignableToTypeOf(refused))
		Expect(err.(*openai.Error).Type).To(Equal("unknown_model"))

		models, err := client.Models.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(models.Data).To(HaveLen(1))
	}, NodeTimeout(time.Minute))

	It("cancels a request at the engine when the OpenAI client cancels it", func(ctx SpecContext) {
		s := newSystem(ctx, 1)
		defer s.stop()
		client := s.client()
		streamCtx, cancel := context.WithCancel(ctx)
		stream := client.Chat.Completions.NewStreaming(streamCtx, chatParams(4000))
		Expect(stream.Next()).To(BeTrue())
		cancel()
		Eventually(func() standin.Outcome {
			for _, e := range s.standins.Engines {
				for _, r := range e.Records().Requests {
					return r.Outcome
				}
			}
			return standin.OutcomeRunning
		}, "20s").Should(Equal(standin.OutcomeCancelled))
	}, NodeTimeout(time.Minute))

	It("completes answers in flight when a router stops, and accepts no new connections", func(ctx SpecContext) {
		s := newSystem(ctx, 1)
		defer s.stop()
		client := s.client()
		stream := client.Chat.Completions.NewStreaming(ctx, chatParams(40))
		Expect(stream.Next()).To(BeTrue())
		accumulated := openai.ChatCompletionAccumulator{}
		accumulated.AddChunk(stream.Current())
		router := s.Routers[0]
		stopped := make(chan error, 1)
		go func() { stopped <- s.StopDaemon(router) }()
		Eventually(func() error {
			conn, err := net.Dial("tcp", strings.TrimPrefix(router.RouterURL(), "http://"))
			if err == nil {
				_ = conn.Close()
			}
			return err
		}, "10s").Should(HaveOccurred())
		for stream.Next() {
			accumulated.AddChunk(stream.Current())
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(standin.VerifyAnswer(chatPrompt, accumulated.Choices[0].Message.Content, 40)).To(Succeed())
		Eventually(stopped, "20s").Should(Receive(BeNil()))
	}, NodeTimeout(time.Minute))

	It("drains endpoints one by one without truncating an answer", func(ctx SpecContext) {
		s := newSystem(ctx, 1)
		defer s.stop()
		client := s.client()
		requestsCtx, stopRequests := context.WithCancel(ctx)
		var group sync.WaitGroup
		for range 6 {
			group.Go(func() {
				defer GinkgoRecover()
				for requestsCtx.Err() == nil {
					answer, err := client.Chat.Completions.New(ctx, chatParams(12))
					Expect(err).NotTo(HaveOccurred())
					Expect(standin.VerifyAnswer(chatPrompt, answer.Choices[0].Message.Content, 12)).To(Succeed())
				}
			})
		}
		for _, name := range []string{"rally-text-1", "rally-text-2"} {
			before := len(s.standins.Engines[name].Records().Requests)
			Expect(s.StopDaemon(s.Agents[name])).To(Succeed())
			after := len(s.standins.Engines[name].Records().Requests)
			Expect(after).To(BeNumerically(">=", before))
			Consistently(func() int { return len(s.standins.Engines[name].Records().Requests) }, "300ms").Should(Equal(after))
		}
		stopRequests()
		group.Wait()
	}, NodeTimeout(time.Minute))

	It("refuses requests that routers still send to a leaving agent before it closes their connections", func(ctx SpecContext) {
		s := newSystem(ctx, 1)
		defer s.stop()
		leaving := s.Agents["rally-text-1"]
		url := leaving.AgentURLs()[0] + dispatch.PathPrefix + "/v1/chat/completions"
		router := rpc.Client(nil)
		meta := dispatch.Metadata{RequestID: "late", AttemptNumber: 1, Incarnation: 1, Workspace: "w", Class: "c", Model: "m", TimeToDeadline: time.Second, StartTimeout: time.Second}
		// refusedAsDraining sends a request and reports whether the agent refused it
		// because it is draining.
		refusedAsDraining := func() (bool, error) {
			request, err := dispatch.NewAttemptRequest(ctx, http.MethodPost, url, []byte("{}"))
			Expect(err).NotTo(HaveOccurred())
			meta.SetHeaders(request.Header)
			response, err := router.Do(request)
			if err != nil {
				return false, err
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			refused, ok := dispatch.ParseRequestError(response, body)
			return ok && refused.Type == dispatch.Draining && refused.Execution == dispatch.ExecutionNotRun, err
		}
		_, err := refusedAsDraining()
		Expect(err).NotTo(HaveOccurred())
		stopped := make(chan error, 1)
		go func() { stopped <- s.StopDaemon(leaving) }()
		var firstRefusal, lastRefusal time.Time
		for err == nil {
			var refused bool
			if refused, err = refusedAsDraining(); refused {
				lastRefusal = time.Now()
			}
			if firstRefusal.IsZero() {
				firstRefusal = lastRefusal
			}
			time.Sleep(5 * time.Millisecond)
		}
		Expect(lastRefusal.Sub(firstRefusal)).To(BeNumerically(">", 400*time.Millisecond), err.Error())
		Eventually(stopped, "20s").Should(Receive(BeNil()))
	}, NodeTimeout(time.Minute))

	It("closes the connection of a caller that sends its request header too slowly", func(ctx SpecContext) {
		s := newSystem(ctx, 1)
		defer s.stop()
		conn, err := net.Dial("tcp", strings.TrimPrefix(s.Routers[0].RouterURL(), "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthoriz"))
		Expect(err).NotTo(HaveOccurred())
		rawHTTP, err := io.ReadAll(conn) // returns only when the router closes the connection
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rawHTTP)).NotTo(ContainSubstring("200 OK"))
		for _, e := range s.standins.Engines {
			Expect(e.Records().Requests).To(BeEmpty())
		}
	}, NodeTimeout(time.Minute))

	DescribeTable("refuses a malformed request", func(ctx SpecContext, rawHTTP string) {
		s := newSystem(ctx, 1)
		defer s.stop()
		conn, err := net.Dial("tcp", strings.TrimPrefix(s.Routers[0].RouterURL(), "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		rawHTTP = strings.ReplaceAll(rawHTTP, "KEY", riderKey)
		_, err = conn.Write([]byte(rawHTTP))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		answer, _ := io.ReadAll(conn)
		Expect(bytes.HasPrefix(answer, []byte("HTTP/1.1 4"))).To(BeTrue(), string(answer))
		for _, e := range s.standins.Engines {
			Expect(e.Records().Requests).To(BeEmpty())
		}
	},
		Entry("two Content-Length headers", NodeTimeout(time.Minute), "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}x"),
		Entry("a space before the colon of a header", NodeTimeout(time.Minute), "POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n"),
		Entry("no Host header", NodeTimeout(time.Minute), "POST /v1/completions HTTP/1.1\r\n\r\n"),
		Entry("a header over the size limit", NodeTimeout(time.Minute), "POST /v1/completions HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("y", 80<<10)+"\r\n\r\n"),
		Entry("a body shorter than its Content-Length", NodeTimeout(time.Minute), "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer KEY\r\nContent-Length: 90\r\n\r\n{\"model\":"),
	)

	It("is ready only once it has a configuration", func(ctx SpecContext) {
		standins, endpoints, err := daemon.StartStandins()
		Expect(err).NotTo(HaveOccurred())
		defer standins.Stop()
		e, err := daemon.StartEmbedded(daemon.EmbeddedOptions{Endpoints: endpoints, Logger: slog.New(slog.DiscardHandler)})
		Expect(err).NotTo(HaveOccurred())
		s := &system{Embedded: e, standins: standins}
		defer func() { Expect(s.Stop(ctx)).To(Succeed()) }()
		Expect(s.Routers[0].Ready()).To(BeFalse())
		response, err := http.Post(s.Routers[0].RouterURL()+"/v1/completions", "application/json", strings.NewReader("{}"))
		Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		Expect(response.StatusCode).To(BeElementOf(http.StatusServiceUnavailable, http.StatusUnauthorized))
		Expect(s.WaitReady(ctx, s.submit(ctx))).To(Succeed())
	}, NodeTimeout(time.Minute))
})
