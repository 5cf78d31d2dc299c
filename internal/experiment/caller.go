package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

// Request headers that callers set.
const (
	headerClass          = "Trefoilkeel-Class"
	headerIdempotencyKey = "Idempotency-Key"
)

// CallOutcome is how a call ended as its caller observed it.
type CallOutcome string

// Call outcomes.
const (
	OutcomeNormal   CallOutcome = "normal"  // the answer ended without an error, whatever its content
	OutcomeNotRun   CallOutcome = "not_run" // the response said that the request did not run
	OutcomeFailed   CallOutcome = "failed"  // any other failure
	OutcomeTimedOut CallOutcome = "gave_up" // the deadline of its class passed, or the run ended
)

// Content is the result of comparing the received answer with the complete one.
type Content string

// Results of the comparison.
const (
	ContentComplete Content = "whole"
	ContentPartial  Content = "partial" // a proper prefix of the answer, or nothing
	ContentWrong    Content = "wrong"   // anything else
)

// Call is one request as sent and observed by its caller.
type Call struct {
	Request         *PlannedRequest
	CopyIndex       int // 0 for the first copy, 1 for the repeat of a protected request
	ScheduledAt     time.Time
	EndedAt         time.Time
	Outcome         CallOutcome
	Content         Content
	Refusal         dispatch.ErrorType
	HTTPStatus      int
	FailureMessage  string        // empty unless the call failed or was refused
	FirstTokenDelay time.Duration // from ScheduledAt to the first token, or to a whole buffered answer; 0 without one
	TokenGapMicros  []uint32      // between consecutive tokens
	ReceivedTokens  int
}

func (c *Call) gotCompleteAnswer() bool {
	return c.Outcome == OutcomeNormal && c.Content == ContentComplete
}

// waitEndedAt returns when the caller stopped waiting for its first token: on
// receiving it, or at the end of a call without tokens.
func (c *Call) waitEndedAt() time.Time {
	if c.FirstTokenDelay > 0 {
		return c.ScheduledAt.Add(c.FirstTokenDelay)
	}
	return c.EndedAt
}

func (c *Call) meanTokenGap() time.Duration {
	if len(c.TokenGapMicros) == 0 {
		return 0
	}
	var sum time.Duration
	for _, g := range c.TokenGapMicros {
		sum += time.Duration(g) * time.Microsecond
	}
	return sum / time.Duration(len(c.TokenGapMicros))
}

// metTargets reports whether the caller got its complete answer within the
// latency targets of its class. The first-token target of a buffered answer is
// extended by the between-tokens target for each of its tokens.
func (c *Call) metTargets() bool {
	class := c.Request.Class
	allowed := time.Duration(class.FirstTokenTarget)
	if !c.Request.Stream {
		allowed += time.Duration(c.Request.AnswerTokens) * time.Duration(class.BetweenTokensTarget)
	}
	return c.gotCompleteAnswer() && c.FirstTokenDelay <= allowed && c.meanTokenGap() <= time.Duration(class.BetweenTokensTarget)
}

// callerClient sends the requests of all callers of a run.
type callerClient struct {
	httpClient *http.Client
	apiKey     func(workspace string) string
}

// call sends one copy of a request. The class's deadline and all latencies
// count from scheduledAt, so that a late send counts as waiting.
func (cl *callerClient) call(ctx context.Context, baseURL string, r *PlannedRequest, copyIndex int, scheduledAt time.Time) *Call {
	c := &Call{Request: r, CopyIndex: copyIndex, ScheduledAt: scheduledAt, Outcome: OutcomeFailed, Content: ContentPartial}
	ctx, cancel := context.WithDeadline(ctx, scheduledAt.Add(time.Duration(r.Class.Deadline)))
	defer cancel()
	cl.roundTrip(ctx, baseURL, c)
	c.EndedAt = time.Now()
	if c.Outcome == OutcomeFailed && ctx.Err() != nil {
		c.Outcome = OutcomeTimedOut
	}
	return c
}

func (cl *callerClient) roundTrip(ctx context.Context, baseURL string, c *Call) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+c.Request.Path, bytes.NewReader(c.Request.Body))
	if err != nil {
		c.FailureMessage = err.Error()
		return
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+cl.apiKey(c.Request.Workspace))
	req.Header.Set(headerClass, c.Request.Class.Name)
	if c.Request.IdempotencyKey != "" {
		req.Header.Set(headerIdempotencyKey, c.Request.IdempotencyKey)
	}
	resp, err := cl.httpClient.Do(req)
	if err != nil {
		c.FailureMessage = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	c.HTTPStatus = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		c.readErrorResponse(resp)
		return
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		c.readStream(resp.Body)
		return
	}
	c.readBufferedAnswer(resp.Body)
}

// readErrorResponse reads a response with a status other than 200.
func (c *Call) readErrorResponse(resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.FailureMessage = err.Error()
		return
	}
	c.FailureMessage = string(body[:min(len(body), 300)])
	if r, ok := dispatch.ParseRequestError(resp, body); ok {
		c.Refusal = r.Type
	}
	if resp.Header.Get(dispatch.HeaderExecution) == dispatch.ExecutionNotRun {
		c.Outcome = OutcomeNotRun
	}
}

func (c *Call) sinceScheduled(now time.Time) time.Duration { return now.Sub(c.ScheduledAt) }

func (c *Call) readBufferedAnswer(r io.Reader) {
	body, err := io.ReadAll(r)
	if err != nil {
		c.FailureMessage = err.Error()
		return
	}
	c.Outcome = OutcomeNormal
	c.FirstTokenDelay = c.sinceScheduled(time.Now())
	if c.Request.Prompt == "" {
		c.verifyServiceAnswer(body)
		return
	}
	var completion struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	if json.Unmarshal(body, &completion) != nil || len(completion.Choices) != 1 {
		c.Content = ContentWrong
		return
	}
	c.verifyText(completion.Choices[0].Message.Content)
}

func (c *Call) verifyServiceAnswer(body []byte) {
	var answer standin.ServiceResponse
	c.Content = ContentWrong
	if json.Unmarshal(body, &answer) == nil && answer.Digest == c.Request.RecordKey {
		c.Content = ContentComplete
	}
}

// verifyText compares the received text with the complete answer.
func (c *Call) verifyText(text string) {
	err := standin.VerifyAnswer(c.Request.Prompt, text, c.Request.AnswerTokens)
	c.ReceivedTokens = strings.Count(text, " w")
	c.Content = ContentComplete
	if mismatch, ok := err.(*standin.AnswerMismatchError); ok {
		c.Content = ContentWrong
		if mismatch.Partial {
			c.Content = ContentPartial
		}
	}
}

var (
	dataPrefix    = []byte("data: ")
	doneMarker    = []byte("[DONE]")
	contentPrefix = []byte(`"content":"`)
	errorPrefix   = []byte(`{"error"`)
)

// readStream reads server-sent events. A stream that ends cleanly counts as
// OutcomeNormal even without its end marker, since a client that doesn't check
// for the marker would accept it.
func (c *Call) readStream(r io.Reader) {
	var text []byte
	var last time.Time
	var sawErrorEvent bool
	lines := bufio.NewReaderSize(r, 4096)
	for {
		line, err := lines.ReadSlice('\n')
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix)
		if ok && bytes.Equal(data, doneMarker) {
			c.Outcome = OutcomeNormal
			break
		}
		if ok && bytes.HasPrefix(data, errorPrefix) {
			sawErrorEvent = true
			c.FailureMessage = string(data[:min(len(data), 300)])
		}
		if token := chunkContent(data); ok && len(token) > 0 {
			now := time.Now()
			c.recordToken(now, last)
			last = now
			text = append(text, token...)
		}
		if err != nil {
			c.recordStreamEnd(err, sawErrorEvent)
			break
		}
	}
	c.verifyText(string(text))
}

func (c *Call) recordToken(now, last time.Time) {
	if last.IsZero() {
		c.FirstTokenDelay = c.sinceScheduled(now)
		return
	}
	c.TokenGapMicros = append(c.TokenGapMicros, uint32(now.Sub(last).Microseconds()))
}

func (c *Call) recordStreamEnd(err error, sawErrorEvent bool) {
	if err == io.EOF && !sawErrorEvent {
		c.Outcome = OutcomeNormal
		return
	}
	if !sawErrorEvent {
		c.FailureMessage = err.Error()
	}
}

// chunkContent extracts the text of a chunk. It doesn't unescape JSON: the
// stand-ins' texts contain nothing to unescape.
func chunkContent(data []byte) []byte {
	_, rest, ok := bytes.Cut(data, contentPrefix)
	if !ok {
		return nil
	}
	content, _, _ := bytes.Cut(rest, []byte{'"'})
	return content
}
