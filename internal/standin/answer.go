// Package standin provides small stand-ins for what stands behind an agent: a
// model engine that batches continuously, and a plain service that counts its
// runs. Both give answers that a test can verify, keep records of what they
// really did, and fail on request. They serve tests and experiments, nothing
// in production.
package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"strconv"
	"strings"
)

const (
	medianTokens  = 40   // median of the length law
	lengthSigma   = 0.9  // spread of the length law, log-normal
	maxTokens     = 4096 // longest answer of the length law
	hashBits      = 48   // bits of a prompt hash
	lengthMarker  = "[tokens="
	firstTokenTag = " w0-"
)

// AnswerError tells how a text differs from the answer to its prompt.
type AnswerError struct {
	Token   int    // index of the first token that differs
	Want    string // token that belongs there, empty past the end
	Got     string // rest of the text from there, shortened
	Partial bool   // the text is a proper prefix of the answer
}

// Error describes the difference.
func (e *AnswerError) Error() string {
	if e.Partial {
		return fmt.Sprintf("the answer ends before token %d", e.Token)
	}
	return fmt.Sprintf("the answer differs at token %d: want %q, got %q", e.Token, e.Want, e.Got)
}

// PromptHash identifies a prompt in answers and records.
func PromptHash(prompt string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	return fmt.Sprintf("%012x", (h.Sum64()^h.Sum64()>>hashBits)&(1<<hashBits-1))
}

// Length is the number of tokens of the answer to prompt; a limit of 0 means
// none. A prompt that holds "[tokens=N]" has N tokens, any other a number from
// a heavy-tailed law over its hash.
func Length(prompt string, limit int) int {
	n := naturalLength(prompt)
	if limit > 0 && n > limit {
		return limit
	}
	return n
}

func naturalLength(prompt string) int {
	if at := strings.LastIndex(prompt, lengthMarker); at >= 0 {
		rest := prompt[at+len(lengthMarker):]
		if end := strings.IndexByte(rest, ']'); end > 0 {
			if n, err := strconv.Atoi(rest[:end]); err == nil && n > 0 {
				return n
			}
		}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	u := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	n := math.Round(medianTokens * math.Exp(lengthSigma*math.Sqrt2*math.Erfinv(2*u-1)))
	return int(min(max(n, 1), maxTokens))
}

// token is token i of the answer to the prompt with this hash.
func token(hash string, i int) string {
	return " w" + strconv.Itoa(i) + "-" + hash
}

// tokens joins the tokens from up to, but not including, to.
func tokens(hash string, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(token(hash, i))
	}
	return b.String()
}

// Answer is the whole answer to prompt; a limit of 0 means none.
func Answer(prompt string, limit int) string {
	return tokens(PromptHash(prompt), 0, Length(prompt, limit))
}

// Verify checks that text is the whole answer to prompt under the limit; the
// error is an *AnswerError.
func Verify(prompt, text string, limit int) error {
	hash, n := PromptHash(prompt), Length(prompt, limit)
	rest := text
	for i := range n {
		want := token(hash, i)
		if rest == "" {
			return &AnswerError{Token: i, Want: want, Partial: true}
		}
		if !strings.HasPrefix(rest, want) {
			return &AnswerError{Token: i, Want: want, Got: shorten(rest)}
		}
		rest = rest[len(want):]
	}
	if rest != "" {
		return &AnswerError{Token: n, Got: shorten(rest)}
	}
	return nil
}

func shorten(s string) string { return s[:min(len(s), 40)] }

// splitResumed splits a text completion prompt that carries the answer so far
// into the first prompt and the number of tokens already given.
func splitResumed(prompt string) (first string, given int) {
	at := strings.LastIndex(prompt, firstTokenTag)
	if at < 0 {
		return prompt, 0
	}
	if n, ok := countTokens(PromptHash(prompt[:at]), prompt[at:]); ok {
		return prompt[:at], n
	}
	return prompt, 0
}

// countTokens counts the tokens of text if it is the start of an answer.
func countTokens(hash, text string) (int, bool) {
	n := 0
	for text != "" {
		want := token(hash, n)
		if !strings.HasPrefix(text, want) {
			return 0, false
		}
		text = text[len(want):]
		n++
	}
	return n, true
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// UnmarshalJSON takes content as a string or as a list of text parts.
func (m *Message) UnmarshalJSON(data []byte) error {
	var raw struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return &BodyError{Cause: err}
	}
	m.Role = raw.Role
	if json.Unmarshal(raw.Content, &m.Content) == nil {
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw.Content, &parts); err != nil {
		return &BodyError{Cause: err}
	}
	for _, p := range parts {
		m.Content += p.Text
	}
	return nil
}

// ChatPrompt is the prompt that a chat amounts to.
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}
