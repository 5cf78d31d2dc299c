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

// Headers of the callers' interface.
const (
	headerClass          = "Trefoilkeel-Class"
	headerIdempotencyKey = "Idempotency-Key"
)

// End tells how a call ended for its caller.
type End string

// The ends.
const (
	EndNormal End = "normal"  // the answer ended as a whole one does
	EndNotRun End = "not_run" // told that it did not run
	EndFailed End = "failed"  // any other failure
	EndGaveUp End = "gave_up" // the caller's deadline passed
)

// Content tells what a caller got, checked against the whole answer.
type Content string

// The contents.
const (
	ContentWhole   Content = "whole"
	ContentPartial Content = "partial" // a proper prefix, or nothing
	ContentWrong   Content = "wrong"   // something else
)

// Call is one attempt of a caller, as the caller saw it.
type Call struct {
	Arrival *Arrival
	Copy    int // 1 for the repeat of a protected request
	Began   time.Time
	Ended   time.Time
	End     End
	Content Content
	Refusal dispatch.RefusalType
	Status  int
	Message string        // of a failure
	First   time.Duration // time to first token, or to the answer, from the planned arrival
	Gaps    []uint32      // between tokens, in microseconds
	Tokens  int           // received
}

// finished tells whether the caller got its whole answer.
func (c *Call) finished() bool { return c.End == EndNormal && c.Content == ContentWhole }

// waitEnded is when the caller got its first token, or its end without one.
func (c *Call) waitEnded() time.Time {
	if c.First > 0 {
		return c.Began.Add(c.First)
	}
	return c.Ended
}

// meanGap is the mean time between tokens.
func (c *Call) meanGap() time.Duration {
	if len(c.Gaps) == 0 {
		return 0
	}
	var sum time.Duration
	for _, g := range c.Gaps {
		sum += time.Duration(g) * time.Microsecond
	}
	return sum / time.Duration(len(c.Gaps))
}

// attained tells whether the caller got its whole answer within the targets
// of its class. A buffered answer has the time of its tokens as well.
func (c *Call) attained() bool {
	class := c.Arrival.Class
	allowed := time.Duration(class.FirstTokenTarget)
	if !c.Arrival.Stream {
		allowed += time.Duration(c.Arrival.Tokens) * time.Duration(class.BetweenTokensTarget)
	}
	return c.finished() && c.First <= allowed && c.meanGap() <= time.Duration(class.BetweenTokensTarget)
}

// caller makes the calls of one run.
type caller struct {
	client *http.Client
	keys   func(workspace string) string
}

// do makes one call; due is its planned time.
func (cl *caller) do(ctx context.Context, base string, a *Arrival, copy int, due time.Time) *Call {
	c := &Call{Arrival: a, Copy: copy, Began: due, End: EndFailed, Content: ContentPartial}
	ctx, cancel := context.WithDeadline(ctx, due.Add(time.Duration(a.Class.Deadline)))
	defer cancel()
	cl.exchange(ctx, base, c)
	c.Ended = time.Now()
	if c.End == EndFailed && ctx.Err() != nil {
		c.End = EndGaveUp
	}
	return c
}

func (cl *caller) exchange(ctx context.Context, base string, c *Call) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+c.Arrival.Path, bytes.NewReader(c.Arrival.Body))
	if err != nil {
		c.Message = err.Error()
		return
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+cl.keys(c.Arrival.Workspace))
	req.Header.Set(headerClass, c.Arrival.Class.Name)
	if c.Arrival.Protected != "" {
		req.Header.Set(headerIdempotencyKey, c.Arrival.Protected)
	}
	resp, err := cl.client.Do(req)
	if err != nil {
		c.Message = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	c.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		c.refused(resp)
		return
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		c.readStream(resp.Body)
		return
	}
	c.readBuffered(resp.Body)
}

// refused reads a refusal.
func (c *Call) refused(resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.Message = err.Error()
		return
	}
	c.Message = string(body[:min(len(body), 300)])
	if r, ok := dispatch.ReadRefusal(resp, body); ok {
		c.Refusal = r.Type
	}
	if resp.Header.Get(dispatch.HeaderExecution) == dispatch.NotRun {
		c.End = EndNotRun
	}
}

// since is the time since the planned arrival.
func (c *Call) since(now time.Time) time.Duration { return now.Sub(c.Began) }

func (c *Call) readBuffered(r io.Reader) {
	body, err := io.ReadAll(r)
	if err != nil {
		c.Message = err.Error()
		return
	}
	c.End = EndNormal
	c.First = c.since(time.Now())
	if c.Arrival.Prompt == "" {
		c.checkService(body)
		return
	}
	var object struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	if json.Unmarshal(body, &object) != nil || len(object.Choices) != 1 {
		c.Content = ContentWrong
		return
	}
	c.check(object.Choices[0].Message.Content)
}

func (c *Call) checkService(body []byte) {
	var answer standin.ServiceAnswer
	c.Content = ContentWrong
	if json.Unmarshal(body, &answer) == nil && answer.Digest == c.Arrival.Key {
		c.Content = ContentWhole
	}
}

// check compares a text with the whole answer.
func (c *Call) check(text string) {
	err := standin.Verify(c.Arrival.Prompt, text, c.Arrival.Tokens)
	c.Tokens = strings.Count(text, " w")
	c.Content = ContentWhole
	if difference, ok := err.(*standin.AnswerError); ok {
		c.Content = ContentWrong
		if difference.Partial {
			c.Content = ContentPartial
		}
	}
}

var (
	dataPrefix    = []byte("data: ")
	doneMark      = []byte("[DONE]")
	contentPrefix = []byte(`"content":"`)
	errorPrefix   = []byte(`{"error"`)
)

// readStream reads server-sent events. A stream that ends cleanly counts as a
// normal end even without its end mark, as a careless client would take it.
func (c *Call) readStream(r io.Reader) {
	var text []byte
	var last time.Time
	var failed bool
	lines := bufio.NewReaderSize(r, 4096)
	for {
		line, err := lines.ReadSlice('\n')
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix)
		if ok && bytes.Equal(data, doneMark) {
			c.End = EndNormal
			break
		}
		if ok && bytes.HasPrefix(data, errorPrefix) {
			failed = true
			c.Message = string(data[:min(len(data), 300)])
		}
		if token := contentOf(data); ok && len(token) > 0 {
			now := time.Now()
			c.token(now, last)
			last = now
			text = append(text, token...)
		}
		if err != nil {
			c.streamEnded(err, failed)
			break
		}
	}
	c.check(string(text))
}

func (c *Call) token(now, last time.Time) {
	if last.IsZero() {
		c.First = c.since(now)
		return
	}
	c.Gaps = append(c.Gaps, uint32(now.Sub(last).Microseconds()))
}

func (c *Call) streamEnded(err error, failed bool) {
	if err == io.EOF && !failed {
		c.End = EndNormal
		return
	}
	if !failed {
		c.Message = err.Error()
	}
}

// contentOf is the text of a chunk; the stand-ins' texts need no unescaping.
func contentOf(data []byte) []byte {
	_, rest, ok := bytes.Cut(data, contentPrefix)
	if !ok {
		return nil
	}
	content, _, _ := bytes.Cut(rest, []byte{'"'})
	return content
}
