// Package standin provides simulated back ends (stand-ins) for tests and
// experiments: a model engine with continuous batching, and a plain service
// that counts its runs. Both return deterministic answers that a test can
// verify, record every request, and inject faults on demand. They are not for
// production use.
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
	medianAnswerTokens = 40   // median of the log-normal distribution of answer lengths
	answerTokensSigma  = 0.9  // its standard deviation, in log space
	maxAnswerTokens    = 4096 // upper bound on drawn lengths
	promptHashBits     = 48
	tokenCountMarker   = "[tokens="
	firstTokenPrefix   = " w0-"
)

// AnswerMismatchError reports the first difference between a text and the
// expected answer to its prompt.
type AnswerMismatchError struct {
	TokenIndex int    // first token that differs
	Want       string // expected token, empty past the end of the answer
	Got        string // text from that token on, truncated
	Partial    bool   // the text ends early, after whole tokens of the answer
}

// Error implements error.
func (e *AnswerMismatchError) Error() string {
	if e.Partial {
		return fmt.Sprintf("the answer ends before token %d", e.TokenIndex)
	}
	return fmt.Sprintf("the answer differs at token %d: want %q, got %q", e.TokenIndex, e.Want, e.Got)
}

// PromptHash identifies a prompt in answers and records by 12 hexadecimal
// digits.
func PromptHash(prompt string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	return fmt.Sprintf("%012x", (h.Sum64()^h.Sum64()>>promptHashBits)&(1<<promptHashBits-1))
}

// AnswerTokenCount returns the number of tokens in the answer to prompt, at
// most limit; 0 means no limit. A prompt that contains "[tokens=N]" gets N
// tokens; the count of any other is drawn from a heavy-tailed (log-normal)
// distribution, seeded by a hash of the prompt.
func AnswerTokenCount(prompt string, limit int) int {
	n := unlimitedTokenCount(prompt)
	if limit > 0 && n > limit {
		return limit
	}
	return n
}

func unlimitedTokenCount(prompt string) int {
	if at := strings.LastIndex(prompt, tokenCountMarker); at >= 0 {
		rest := prompt[at+len(tokenCountMarker):]
		if end := strings.IndexByte(rest, ']'); end > 0 {
			if n, err := strconv.Atoi(rest[:end]); err == nil && n > 0 {
				return n
			}
		}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	u := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	n := math.Round(medianAnswerTokens * math.Exp(answerTokensSigma*math.Sqrt2*math.Erfinv(2*u-1)))
	return int(min(max(n, 1), maxAnswerTokens))
}

// answerToken returns token i of the answer to the prompt with this hash.
func answerToken(hash string, i int) string {
	return " w" + strconv.Itoa(i) + "-" + hash
}

// answerTokens concatenates the tokens in [from, to).
func answerTokens(hash string, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(answerToken(hash, i))
	}
	return b.String()
}

// ExpectedAnswer returns the complete answer to prompt, at most limit tokens
// long; 0 means no limit.
func ExpectedAnswer(prompt string, limit int) string {
	return answerTokens(PromptHash(prompt), 0, AnswerTokenCount(prompt, limit))
}

// VerifyAnswer checks that text is the complete answer to prompt under the
// limit. The error is an *AnswerMismatchError.
func VerifyAnswer(prompt, text string, limit int) error {
	hash, n := PromptHash(prompt), AnswerTokenCount(prompt, limit)
	rest := text
	for i := range n {
		want := answerToken(hash, i)
		if rest == "" {
			return &AnswerMismatchError{TokenIndex: i, Want: want, Partial: true}
		}
		if !strings.HasPrefix(rest, want) {
			return &AnswerMismatchError{TokenIndex: i, Want: want, Got: truncate(rest)}
		}
		rest = rest[len(want):]
	}
	if rest != "" {
		return &AnswerMismatchError{TokenIndex: n, Got: truncate(rest)}
	}
	return nil
}

func truncate(s string) string { return s[:min(len(s), 40)] }

// splitPartialAnswer splits a text completion prompt into the original prompt
// and the number of answer tokens that the caller has appended to it.
func splitPartialAnswer(prompt string) (original string, givenTokens int) {
	at := strings.LastIndex(prompt, firstTokenPrefix)
	if at < 0 {
		return prompt, 0
	}
	if n, ok := countAnswerPrefixTokens(PromptHash(prompt[:at]), prompt[at:]); ok {
		return prompt[:at], n
	}
	return prompt, 0
}

// countAnswerPrefixTokens counts the tokens of text. The second result is
// false unless text is a prefix of the answer to the prompt with this hash.
func countAnswerPrefixTokens(hash, text string) (int, bool) {
	n := 0
	for text != "" {
		want := answerToken(hash, n)
		if !strings.HasPrefix(text, want) {
			return 0, false
		}
		text = text[len(want):]
		n++
	}
	return n, true
}

// Message is one message of a chat completion request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// UnmarshalJSON accepts content as a string or as a list of text parts.
func (m *Message) UnmarshalJSON(data []byte) error {
	var raw struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return &InvalidBodyError{Cause: err}
	}
	m.Role = raw.Role
	if json.Unmarshal(raw.Content, &m.Content) == nil {
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw.Content, &parts); err != nil {
		return &InvalidBodyError{Cause: err}
	}
	for _, p := range parts {
		m.Content += p.Text
	}
	return nil
}

// ChatPrompt renders the messages of a chat as one prompt.
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
