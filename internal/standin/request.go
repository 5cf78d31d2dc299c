package standin

import "encoding/json"

// InvalidBodyError reports a request body that cannot be parsed or lacks a field.
type InvalidBodyError struct {
	Cause   error // nil if something is missing
	Missing string
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
	GivenTokens  int    // answer tokens that the request contains, which are not repeated
	MaxNewTokens int    // 0 for no limit
	Priority     int    // lower runs first
	Stream       bool
	IncludeUsage bool
}

// EndToken returns one past the index of the last token of the answer.
func (j *CompletionRequest) EndToken() int {
	if j.MaxNewTokens == 0 {
		return max(AnswerTokenCount(j.Prompt, 0), j.GivenTokens)
	}
	return max(AnswerTokenCount(j.Prompt, j.GivenTokens+j.MaxNewTokens), j.GivenTokens)
}

// finishReason returns "length" if the token limit cuts the answer off, and
// "stop" otherwise.
func (j *CompletionRequest) finishReason() string {
	if j.EndToken() < unlimitedTokenCount(j.Prompt) {
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
	j := &CompletionRequest{
		Chat:         chat,
		Model:        b.Model,
		MaxNewTokens: max(b.MaxTokens, b.MaxCompletionTokens),
		Priority:     b.Priority,
		Stream:       b.Stream,
		IncludeUsage: b.StreamOptions.IncludeUsage,
	}
	if !chat {
		return j, j.parsePrompt(b.Prompt)
	}
	return j, j.parseMessages(&b)
}

func (j *CompletionRequest) parsePrompt(raw json.RawMessage) error {
	var prompt string
	if json.Unmarshal(raw, &prompt) != nil {
		var list []string
		if json.Unmarshal(raw, &list) != nil || len(list) != 1 {
			return &InvalidBodyError{Missing: "a prompt of one text"}
		}
		prompt = list[0]
	}
	j.Prompt, j.GivenTokens = splitPartialAnswer(prompt)
	return nil
}

func (j *CompletionRequest) parseMessages(b *completionBody) error {
	if len(b.Messages) == 0 {
		return &InvalidBodyError{Missing: "messages"}
	}
	if !b.ContinueFinalMessage {
		j.Prompt = ChatPrompt(b.Messages)
		return nil
	}
	last := b.Messages[len(b.Messages)-1]
	if last.Role != "assistant" || b.AddGenerationPrompt == nil || *b.AddGenerationPrompt {
		return &InvalidBodyError{Missing: "a final assistant message with add_generation_prompt false"}
	}
	j.Prompt = ChatPrompt(b.Messages[:len(b.Messages)-1])
	given, ok := countAnswerPrefixTokens(PromptHash(j.Prompt), last.Content)
	if !ok {
		j.Prompt = ChatPrompt(b.Messages)
		return nil
	}
	j.GivenTokens = given
	return nil
}
