package standin_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

const fastStep = 200 * time.Microsecond

// response is a chat completion as its caller parsed it.
type response struct {
	status   int
	id       string
	text     string
	complete bool // the body was parsed to its end; a stream ended with [DONE]
}

// postChat sends a chat completion request and reads the response.
func postChat(ctx context.Context, base, id string, body map[string]any) response {
	raw, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(raw))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()
	got := response{status: resp.StatusCode, id: resp.Header.Get("X-Request-Id")}
	if body["stream"] == true {
		got.readStream(resp.Body)
		return got
	}
	got.readObject(resp.Body)
	return got
}

type choice struct {
	Delta, Message struct{ Content string }
}

func (got *response) readStream(r io.Reader) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if data == "[DONE]" {
			got.complete = true
			return
		}
		var chunk struct{ Choices []choice }
		if ok && json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			got.text += chunk.Choices[0].Delta.Content
		}
	}
}

func (got *response) readObject(r io.Reader) {
	body, err := io.ReadAll(r)
	var object struct{ Choices []choice }
	if err != nil || json.Unmarshal(body, &object) != nil || len(object.Choices) == 0 {
		return
	}
	got.text, got.complete = object.Choices[0].Message.Content, true
}

func chatBody(prompt string, stream bool) map[string]any {
	return map[string]any{"model": "m", "stream": stream, "messages": []standin.Message{{Role: "user", Content: prompt}}}
}

func userPrompt(content string) string {
	return standin.ChatPrompt([]standin.Message{{Role: "user", Content: content}})
}

var _ = Describe("the engine", func() {
	var engine *standin.Engine
	var base string

	BeforeEach(func() {
		engine = standin.NewEngine(standin.EngineConfig{Name: "e", Models: []string{"m"}, StepBase: fastStep, StepPerSequence: time.Microsecond})
		server := httptest.NewServer(engine.Handler())
		DeferCleanup(server.Close)
		base = server.URL
	})

	DescribeTable("injects each fault and records the outcome",
		func(ctx SpecContext, fault standin.Fault, stream bool, complete bool, expected string) {
			if fault.Kind != "" {
				Expect(engine.InjectFault(fault)).To(Succeed())
			}
			got := postChat(ctx, base, "id-1", chatBody("route book [tokens=12]", stream))
			Expect(got.complete).To(Equal(complete))
			err := standin.VerifyAnswer(userPrompt("route book [tokens=12]"), got.text, 0)
			switch expected {
			case "whole":
				Expect(err).NotTo(HaveOccurred())
				Expect(got.id).To(Equal("id-1"))
			case "prefix":
				Expect(err).To(HaveField("Partial", true))
			case "other":
				Expect(err).To(HaveField("Partial", false))
				Expect(got.id).NotTo(Equal("id-1"))
			}
			Eventually(func() string {
				return string(engine.Records().Requests[0].Outcome)
			}).Should(Equal(map[bool]string{true: "whole", false: "crashed"}[complete]))
			Expect(engine.Records().Requests[0].FaultKind).To(Equal(fault.Kind))
		},
		Entry("none", standin.Fault{}, true, true, "whole"),
		Entry("late", standin.Fault{Kind: standin.FaultLate, DelayMS: 5}, true, true, "whole"),
		Entry("twice, streamed", standin.Fault{Kind: standin.FaultTwice}, true, true, "whole"),
		Entry("twice, buffered", standin.Fault{Kind: standin.FaultTwice}, false, true, "whole"),
		Entry("crash before the first byte", standin.Fault{Kind: standin.FaultCrashFirst}, true, false, "prefix"),
		Entry("crash mid-stream", standin.Fault{Kind: standin.FaultCrashMid, AfterTokens: 3}, true, false, "prefix"),
		Entry("crash after the last token", standin.Fault{Kind: standin.FaultCrashLast}, true, false, "whole"),
		Entry("crash in a buffered answer", standin.Fault{Kind: standin.FaultCrashMid}, false, false, "prefix"),
		Entry("another request's id", standin.Fault{Kind: standin.FaultWrongID}, true, true, "other"),
	)

	It("swaps the responses of two requests", func(ctx SpecContext) {
		Expect(engine.InjectFault(standin.Fault{Kind: standin.FaultOutOfOrder, Count: 2})).To(Succeed())
		var got [2]response
		var group sync.WaitGroup
		for i := range got {
			group.Go(func() {
				defer GinkgoRecover()
				got[i] = postChat(ctx, base, fmt.Sprint("id-", i), chatBody(fmt.Sprintf("q%d [tokens=5]", i), true))
			})
		}
		group.Wait()
		Expect(got[0].id).To(Equal("id-1"))
		Expect(got[1].id).To(Equal("id-0"))
		Expect(standin.VerifyAnswer(userPrompt("q1 [tokens=5]"), got[0].text, 0)).To(Succeed())
	})

	It("keeps a hung request open until its caller disconnects", func(ctx SpecContext) {
		Expect(engine.InjectFault(standin.Fault{Kind: standin.FaultHang})).To(Succeed())
		callerCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() { defer close(done); defer GinkgoRecover(); postChat(callerCtx, base, "h", chatBody("x", true)) }()
		Eventually(func() int { return len(engine.Records().Requests) }).Should(Equal(1))
		cancel()
		<-done
		Eventually(func() standin.Outcome { return engine.Records().Requests[0].Outcome }).Should(Equal(standin.OutcomeCancelled))
		Expect(engine.Records().TokensGenerated).To(BeZero())
	})

	It("aborts every request while it is down", func(ctx SpecContext) {
		Expect(engine.InjectFault(standin.Fault{Kind: standin.FaultDown})).To(Succeed())
		Expect(postChat(ctx, base, "d", chatBody("x", true)).complete).To(BeFalse())
		Expect(engine.InjectFault(standin.Fault{Kind: standin.FaultClear})).To(Succeed())
		Expect(postChat(ctx, base, "d", chatBody("x", true)).complete).To(BeTrue())
	})

	It("continues an answer after the tokens in the request", func(ctx SpecContext) {
		question := []standin.Message{{Role: "user", Content: "stage 4 [tokens=9]"}}
		whole := standin.ExpectedAnswer(standin.ChatPrompt(question), 0)
		given := whole[:strings.Index(whole, " w5-")]
		got := postChat(ctx, base, "r", map[string]any{"model": "m", "stream": true,
			"continue_final_message": true, "add_generation_prompt": false,
			"messages": append(question, standin.Message{Role: "assistant", Content: given})})
		Expect(given + got.text).To(Equal(whole))
		Expect(engine.Records().Requests[0].TokensGiven).To(Equal(5))
	})

	DescribeTable("refuses orders with an outdated fencing number unless told to ignore it",
		func(ignoreFence bool, expectedStatus int) {
			e := standin.NewEngine(standin.EngineConfig{IgnoreFence: ignoreFence})
			statuses := []int{}
			for _, fence := range []int{7, 6} {
				w := httptest.NewRecorder()
				body := fmt.Sprintf(`{"id":"o","fence":%d,"kind":"load","model":"n"}`, fence)
				e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/orders", strings.NewReader(body)))
				statuses = append(statuses, w.Code)
			}
			Expect(statuses).To(Equal([]int{http.StatusOK, expectedStatus}))
		},
		Entry("refused", false, http.StatusConflict),
		Entry("ignored", true, http.StatusOK),
	)
})

var _ = Describe("the plain service", func() {
	It("counts the runs of a key, including those whose response is lost", func() {
		service := standin.NewService(standin.ServiceConfig{Name: "entries"})
		server := httptest.NewServer(service.Handler())
		DeferCleanup(server.Close)
		Expect(service.InjectFault(standin.Fault{Kind: standin.FaultCrashFirst})).To(Succeed())
		_, err := http.Post(server.URL+"/pay", "text/plain", strings.NewReader("fee 1"))
		Expect(err).To(HaveOccurred())
		resp, err := http.Post(server.URL+"/pay", "text/plain", strings.NewReader("fee 1"))
		Expect(err).NotTo(HaveOccurred())
		var got standin.ServiceResponse
		Expect(json.NewDecoder(resp.Body).Decode(&got)).To(Succeed())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(got.Run).To(Equal(2))
		Expect(service.Records().Runs).To(HaveKeyWithValue(got.Digest, 2))
	})
})

// timeChat runs one streamed chat against the handler of e, without a socket so
// that synctest can advance its clock, and returns how long it took.
func timeChat(e *standin.Engine, prompt string, priority int) time.Duration {
	body := fmt.Sprintf(`{"model":"m","stream":true,"priority":%d,"messages":[{"role":"user","content":%q}]}`, priority, prompt)
	start := time.Now()
	e.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body)))
	return time.Since(start)
}

func TestStepDurationGrowsWithBatchSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := standin.NewEngine(standin.EngineConfig{Slots: 8, StepBase: 10 * time.Millisecond, StepPerSequence: time.Millisecond, PrefillPerByte: time.Nanosecond})
		alone := timeChat(e, "p [tokens=10]", 0)
		var group sync.WaitGroup
		var slowest time.Duration
		for i := range 8 {
			group.Go(func() {
				if took := timeChat(e, fmt.Sprintf("p%d [tokens=10]", i), 0); i == 0 {
					slowest = took
				}
			})
		}
		group.Wait()
		g.Expect(alone.Round(time.Millisecond)).To(Equal(110 * time.Millisecond))
		g.Expect(slowest).To(BeNumerically(">=", 170*time.Millisecond))
	})
}

func TestHigherPriorityPreemptsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := standin.NewEngine(standin.EngineConfig{Slots: 1, StepBase: 10 * time.Millisecond, StepPerSequence: time.Millisecond, PrefillPerByte: time.Nanosecond})
		var low, high time.Duration
		var group sync.WaitGroup
		group.Go(func() { low = timeChat(e, "low [tokens=20]", 5) })
		time.Sleep(50 * time.Millisecond)
		group.Go(func() { high = timeChat(e, "high [tokens=5]", 1) })
		group.Wait()
		g.Expect(high).To(BeNumerically("<", 80*time.Millisecond))
		g.Expect(low).To(BeNumerically(">=", 25*11*time.Millisecond))
	})
}

func TestLoadReportsLagAndCacheEventsHaveGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := standin.NewEngine(standin.EngineConfig{LoadLag: time.Second, EventDelay: time.Second, EventGap: 2, CacheBlocks: 3, StepBase: 10 * time.Millisecond})
		get := func(path string, into any) {
			w := httptest.NewRecorder()
			e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
			g.Expect(json.Unmarshal(w.Body.Bytes(), into)).To(Succeed())
		}
		go timeChat(e, strings.Repeat("x", 6*standin.BlockBytes)+"[tokens=300]", 0)
		time.Sleep(500 * time.Millisecond)
		var load standin.LoadReport
		get("/load", &load)
		g.Expect(load.Running).To(Equal(0))
		var events standin.CacheEventsResponse
		get("/cache/events?since=0", &events)
		g.Expect(events.Events).To(BeEmpty())
		time.Sleep(time.Second)
		get("/load", &load)
		g.Expect(load.Running).To(Equal(1))
		g.Expect(load.CacheBlocksUsed).To(Equal(3))
		get("/cache/events?since=1", &events)
		g.Expect(events.Events).NotTo(BeEmpty())
		for _, event := range events.Events {
			g.Expect(event.Sequence % 2).To(Equal(uint64(1)))
		}
		time.Sleep(10 * time.Second)
	})
}

func TestVerifyDetectsEveryDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.String().Draw(t, "prompt")
		limit := rapid.IntRange(0, 50).Draw(t, "limit")
		whole := standin.ExpectedAnswer(prompt, limit)
		if err := standin.VerifyAnswer(prompt, whole, limit); err != nil {
			t.Fatalf("the complete answer is rejected: %v", err)
		}
		cut := rapid.IntRange(0, len(whole)-1).Draw(t, "cut")
		if standin.VerifyAnswer(prompt, whole[:cut], limit) == nil {
			t.Fatal("a truncated answer is accepted")
		}
		if standin.VerifyAnswer(prompt, whole+" w", limit) == nil {
			t.Fatal("an answer with extra text is accepted")
		}
		if standin.VerifyAnswer(prompt+"!", whole, limit) == nil {
			t.Fatal("the answer to another prompt is accepted")
		}
	})
}
