package standin

import "encoding/json"

// InvalidBodyError reports a request body that cannot be parsed or lacks a field.
type InvalidBodyError struct {
	Cause   error  // of a failure to read or parse, or nil
	Missing string // what the body lacks, if Cause is nil
}

// Error implements error.
func (e *InvalidBodyError) Error() string {
	if e.Cause != nil {
		return "unreadable body: " + e.Cause.Error()
	}
	return "body lacks " + e.Missing
}

// Unwrap returns the cause.
func (e *InvalidBodyError) Unwrap() error { return e.Cause }

// CompletionRequest is a parsed chat or text completion request.
type CompletionRequest struct {
	Chat         bool
	Model        string
	Prompt       string // without the part of the answer that the request contains
	TokensGiven  int    // answer tokens that the request already contains; the response leaves them out
	MaxNewTokens int    // 0 for no limit
	Priority     int    // lower runs first
	Stream       bool
	IncludeUsage bool
}

// EndToken returns one past the index of the last token of the answer.
func (r *CompletionRequest) EndToken() int {
	if r.MaxNewTokens == 0 {
		return max(AnswerTokenCount(r.Prompt, 0), r.TokensGiven)
	}
	return max(AnswerTokenCount(r.Prompt, r.TokensGiven+r.MaxNewTokens), r.TokensGiven)
}

// finishReason returns "length" if the token limit cuts the answer off, and
// "stop" otherwise.
func (r *CompletionRequest) finishReason() string {
	if r.EndToken() < unlimitedTokenCount(r.Prompt) {
		return "length"
	}
	return "stop"
}

type completionBody struct {
	Model                string          `json:"model"`
	Messages             []Message       `json:"messages"`
	Prompt               json.RawMessage `json:"prompt"`
	MaxTokens            int             `json:"max_tokens"`
	MaxCompletionTokens  int             `json:"max_completion_tokens"`
	Priority             int             `json:"priority"`
	Stream               bool            `json:"stream"`
	ContinueFinalMessage bool            `json:"continue_final_message"`
	AddGenerationPrompt  *bool           `json:"add_generation_prompt"`
	StreamOptions        struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// ParseCompletionRequest parses the body of a chat or text completion request.
// The error is an *InvalidBodyError.
func ParseCompletionRequest(chat bool, body []byte) (*CompletionRequest, error) {
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, &InvalidBodyError{Cause: err}
	}
	r := &CompletionRequest{
		Chat:         chat,
		Model:        b.Model,
		MaxNewTokens: max(b.MaxTokens, b.MaxCompletionTokens),
		Priority:     b.Priority,
		Stream:       b.Stream,
		IncludeUsage: b.StreamOptions.IncludeUsage,
	}
	if !chat {
		return r, r.parsePrompt(b.Prompt)
	}
	return r, r.parseMessages(&b)
}

func (r *CompletionRequest) parsePrompt(raw json.RawMessage) error {
	var prompt string
	if json.Unmarshal(raw, &prompt) != nil {
		var list []string
		if json.Unmarshal(raw, &list) != nil || len(list) != 1 {
			return &InvalidBodyError{Missing: "a prompt of one text"}
		}
		prompt = list[0]
	}
	r.Prompt, r.TokensGiven = splitPartialAnswer(prompt)
	return nil
}

func (r *CompletionRequest) parseMessages(b *completionBody) error {
	if len(b.Messages) == 0 {
		return &InvalidBodyError{Missing: "messages"}
	}
	if !b.ContinueFinalMessage {
		r.Prompt = ChatPrompt(b.Messages)
		return nil
	}
	last := b.Messages[len(b.Messages)-1]
	if last.Role != "assistant" || b.AddGenerationPrompt == nil || *b.AddGenerationPrompt {
		return &InvalidBodyError{Missing: "a final assistant message with add_generation_prompt false"}
	}
	r.Prompt = ChatPrompt(b.Messages[:len(b.Messages)-1])
	given, ok := countAnswerPrefixTokens(PromptHash(r.Prompt), last.Content)
	if !ok {
		r.Prompt = ChatPrompt(b.Messages)
		return nil
	}
	r.TokensGiven = given
	return nil
}
