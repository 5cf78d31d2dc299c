package router

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/engine"
)

// maxTranscript bounds what is kept of a stream to resume it, in bytes. A
// longer stream is not resumable.
const maxTranscript = 512 << 10

// transcript is what the caller has been sent of a stream.
type transcript struct {
	sent   []byte // whole events, without the end mark
	over   bool   // sent is incomplete: the bound was passed
	events int
	first  time.Time // when the first event was passed on
	done   bool      // the end mark came
	id     []byte    // identity field of the first stream
	newID  []byte    // identity field of the resumed stream, nil if none
	resume bool
}

// chunk is the part of a stream event that resuming needs.
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

// note takes whole events, cuts off the end mark and returns what the caller
// is to get.
func (s *transcript) note(events []byte) []byte {
	if s.done {
		return nil
	}
	if at := bytes.Index(events, []byte(endMark)); at >= 0 {
		s.done = true
		events = events[:at]
	}
	events = s.rename(events)
	s.events += bytes.Count(events, eventEnd)
	if len(s.sent)+len(events) > maxTranscript {
		s.over = true
		return events
	}
	s.sent = append(s.sent, events...)
	return events
}

// rename gives the events of a resumed stream the identity of the first one.
func (s *transcript) rename(events []byte) []byte {
	if s.id == nil {
		s.id = identityField(events)
		return events
	}
	if !s.resume {
		return events
	}
	if s.newID == nil {
		s.newID = identityField(events)
	}
	if s.newID == nil || bytes.Equal(s.newID, s.id) {
		return events
	}
	return bytes.ReplaceAll(events, s.newID, s.id)
}

// identityField returns the first "id" field as it is written, nil if none.
func identityField(events []byte) []byte {
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

// resumed begins the next endpoint's part.
func (s *transcript) resumed() {
	s.resume = true
	s.newID = nil
}

// chunks decodes what was sent; ok is false if it can't be read.
func (s *transcript) chunks() (chunks []chunk, ok bool) {
	for _, event := range bytes.Split(s.sent, eventEnd) {
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

// finished reports whether the events hold the reason for the answer's end.
func (s *transcript) finished() bool {
	if s.over {
		return false
	}
	chunks, ok := s.chunks()
	if !ok {
		return false
	}
	for _, c := range chunks {
		for _, one := range c.Choices {
			if one.FinishReason != nil {
				return true
			}
		}
	}
	return false
}

// text returns the text sent and how many events carried some; ok is false if
// the answer is not plain text of one choice.
func (s *transcript) text() (text string, tokens int, ok bool) {
	chunks, ok := s.chunks()
	if s.over || !ok {
		return "", 0, false
	}
	var buffer bytes.Buffer
	for _, c := range chunks {
		for _, one := range c.Choices {
			if one.Index != 0 || len(one.Delta.ToolCalls) > 0 || (len(one.Logprobs) > 0 && string(one.Logprobs) != "null") {
				return "", 0, false
			}
			if part := one.Delta.Content + one.Text; part != "" {
				buffer.WriteString(part)
				tokens++
			}
		}
	}
	return buffer.String(), tokens, true
}

// resumable reports whether another engine can continue the stream.
func (s *transcript) resumable(q *query) bool {
	_, ok := s.resumeBody(q)
	return ok
}

// continuable reports whether the request asks for one plain text.
func continuable(body *engine.Body) bool {
	for _, name := range []string{"tools", "response_format", "continue_final_message"} {
		if body.Has(name) {
			return false
		}
	}
	n, given := body.Number("n")
	return !given || n == 1
}

// maxTokens reads the caller's bound on the answer's length, in tokens.
func maxTokens(body *engine.Body) (limit int, given bool) {
	if limit, given = body.Number("max_completion_tokens"); given {
		return limit, true
	}
	return body.Number("max_tokens")
}

// continuation is the partial answer as the last message.
type continuation struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// resumeBody builds the body that continues the answer from the text sent; ok
// is false if no engine can do so.
func (s *transcript) resumeBody(q *query) (data []byte, ok bool) {
	text, tokens, ok := s.text()
	if !ok || !continuable(q.parsed) {
		return nil, false
	}
	if text == "" {
		return q.body, true
	}
	body := q.parsed.Clone()
	if limit, given := maxTokens(body); given && limit <= tokens {
		return nil, false
	}
	for _, name := range []string{"max_completion_tokens", "max_tokens"} {
		if limit, given := body.Number(name); given {
			body.SetNumber(name, limit-tokens)
		}
	}
	if !continueFrom(body, text) {
		return nil, false
	}
	data, err := body.Encode()
	return data, err == nil
}

// continueFrom adds the text to the messages or the prompt.
func continueFrom(body *engine.Body, text string) bool {
	if prompt, ok := body.Text("prompt"); ok {
		data, err := json.Marshal(prompt + text)
		body.Set("prompt", data)
		return err == nil
	}
	var messages []json.RawMessage
	if json.Unmarshal(body.Raw("messages"), &messages) != nil {
		return false
	}
	last, err := json.Marshal(continuation{Role: "assistant", Content: text})
	if err != nil {
		return false
	}
	data, err := json.Marshal(append(messages, last))
	body.Set("messages", data)
	body.Set("continue_final_message", json.RawMessage("true"))
	body.Set("add_generation_prompt", json.RawMessage("false"))
	return err == nil
}
