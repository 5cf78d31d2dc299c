package router

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/answer"
	"github.com/trefoilkeel/trefoilkeel/internal/engine"
)

// maxTranscriptBytes limits how much of a stream is kept to resume it. A longer
// stream is not resumable.
const maxTranscriptBytes = 512 << 10

// transcript is the part of a stream that has been sent to the caller.
type transcript struct {
	sent              []byte // complete events, without the done event
	memory            *answer.Buffer
	truncated         bool // sent is incomplete: it reached maxTranscriptBytes, or there is no memory for more
	eventCount        int
	firstEventAt      time.Time // when the first event was sent
	doneEventReceived bool
	idField           []byte // "id" field of the first stream, as written
	resumedIDField    []byte // "id" field of the current resumed stream, nil until read
	resumed           bool
}

// chunk is the part of a stream event that is needed to resume the stream.
type chunk struct {
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index        int             `json:"index"`
	Delta        chunkDelta      `json:"delta"`
	Text         string          `json:"text"`
	FinishReason *string         `json:"finish_reason"`
	Logprobs     json.RawMessage `json:"logprobs"`
}

type chunkDelta struct {
	Content   string          `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

// record adds complete events, removes the done event and returns the events to send
// to the caller.
func (t *transcript) record(events []byte) []byte {
	if t.doneEventReceived {
		return nil
	}
	if doneIndex := bytes.Index(events, []byte(doneEvent)); doneIndex >= 0 {
		t.doneEventReceived = true
		events = events[:doneIndex]
	}
	events = t.rewriteID(events)
	t.eventCount += bytes.Count(events, eventSeparator)
	if t.truncated = t.truncated || !t.keep(events); t.truncated {
		t.sent = nil
		t.memory.Release()
	}
	return events
}

// keep adds events to those that are kept, and reports whether there is room for them.
func (t *transcript) keep(events []byte) bool {
	length := len(t.sent) + len(events)
	if length > maxTranscriptBytes {
		return false
	}
	for len(t.sent)+len(events) > cap(t.sent) {
		grown, err := t.memory.Grow(t.sent[:cap(t.sent)], maxTranscriptBytes)
		if err != nil {
			return false
		}
		t.sent = grown[:len(t.sent)]
	}
	t.sent = append(t.sent, events...)
	return true
}

// rewriteID replaces the ID in the events of a resumed stream by that of the first
// stream.
func (t *transcript) rewriteID(events []byte) []byte {
	if t.idField == nil {
		t.idField = firstIDField(events)
		return events
	}
	if !t.resumed {
		return events
	}
	if t.resumedIDField == nil {
		t.resumedIDField = firstIDField(events)
	}
	if t.resumedIDField == nil || bytes.Equal(t.resumedIDField, t.idField) {
		return events
	}
	return bytes.ReplaceAll(events, t.resumedIDField, t.idField)
}

// firstIDField returns the first "id" field as written, nil if there is none.
func firstIDField(events []byte) []byte {
	start := bytes.Index(events, []byte(`"id":`))
	if start < 0 {
		return nil
	}
	length := bytes.IndexByte(events[start:], ',')
	if length < 0 {
		return nil
	}
	return bytes.Clone(events[start : start+length])
}

// startResumedPart prepares for the events of the next endpoint.
func (t *transcript) startResumedPart() {
	t.resumed = true
	t.resumedIDField = nil
}

// decodeChunks decodes the events sent; ok is false if one is malformed.
func (t *transcript) decodeChunks() (chunks []chunk, ok bool) {
	for _, event := range bytes.Split(t.sent, eventSeparator) {
		data, found := bytes.CutPrefix(bytes.TrimSpace(event), []byte("data:"))
		if !found {
			continue
		}
		var c chunk
		if json.Unmarshal(data, &c) != nil {
			return nil, false
		}
		chunks = append(chunks, c)
	}
	return chunks, true
}

// hasFinishReason reports whether an event states why the answer ended.
func (t *transcript) hasFinishReason() bool {
	if t.truncated {
		return false
	}
	chunks, ok := t.decodeChunks()
	if !ok {
		return false
	}
	for _, c := range chunks {
		for _, choice := range c.Choices {
			if choice.FinishReason != nil {
				return true
			}
		}
	}
	return false
}

// plainText returns the text sent and the number of chunks that carried it; ok is
// false if the answer is not plain text of a single choice.
func (t *transcript) plainText() (text string, tokens int, ok bool) {
	chunks, ok := t.decodeChunks()
	if t.truncated || !ok {
		return "", 0, false
	}
	var buffer bytes.Buffer
	for _, c := range chunks {
		for _, choice := range c.Choices {
			if choice.Index != 0 || len(choice.Delta.ToolCalls) > 0 || (len(choice.Logprobs) > 0 && string(choice.Logprobs) != "null") {
				return "", 0, false
			}
			if content := choice.Delta.Content + choice.Text; content != "" {
				buffer.WriteString(content)
				tokens++
			}
		}
	}
	return buffer.String(), tokens, true
}

// resumable reports whether another engine can continue the stream.
func (t *transcript) resumable(req *callerRequest) bool {
	_, ok := t.continuationBody(req)
	return ok
}

// supportsContinuation reports whether the request asks for one plain-text answer.
func supportsContinuation(body *engine.Body) bool {
	for _, name := range []string{"tools", "response_format", "continue_final_message"} {
		if body.Has(name) {
			return false
		}
	}
	n, given := body.IntField("n")
	return !given || n == 1
}

// outputTokenLimit returns the caller's limit on the answer's length.
func outputTokenLimit(body *engine.Body) (limit int, given bool) {
	if limit, given = body.IntField("max_completion_tokens"); given {
		return limit, true
	}
	return body.IntField("max_tokens")
}

// assistantMessage is the partial answer as the last message of a chat request.
type assistantMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// continuationBody builds a request body that continues the answer after the text
// sent; ok is false if no engine can do so.
func (t *transcript) continuationBody(req *callerRequest) (data []byte, ok bool) {
	text, tokens, ok := t.plainText()
	if !ok || !supportsContinuation(req.parsedBody) {
		return nil, false
	}
	if text == "" {
		return req.body, true
	}
	body := req.parsedBody.Clone()
	if limit, given := outputTokenLimit(body); given && limit <= tokens {
		return nil, false
	}
	for _, name := range []string{"max_completion_tokens", "max_tokens"} {
		if limit, given := body.IntField(name); given {
			body.SetIntField(name, limit-tokens)
		}
	}
	if !appendPartialAnswer(body, text) {
		return nil, false
	}
	data, err := body.Encode()
	return data, err == nil
}

// appendPartialAnswer appends the text to the prompt or the messages.
func appendPartialAnswer(body *engine.Body, text string) bool {
	if prompt, ok := body.StringField("prompt"); ok {
		data, err := json.Marshal(prompt + text)
		body.SetRaw("prompt", data)
		return err == nil
	}
	var messages []json.RawMessage
	if json.Unmarshal(body.Raw("messages"), &messages) != nil {
		return false
	}
	partialAnswer, err := json.Marshal(assistantMessage{Role: "assistant", Content: text})
	if err != nil {
		return false
	}
	data, err := json.Marshal(append(messages, partialAnswer))
	body.SetRaw("messages", data)
	body.SetRaw("continue_final_message", json.RawMessage("true"))
	body.SetRaw("add_generation_prompt", json.RawMessage("false"))
	return err == nil
}
