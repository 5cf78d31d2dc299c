package standin

import "encoding/json"

// BodyError is a request body that can't be read.
type BodyError struct {
	Cause error // nil: a field is missing
	Field string
}

// Error names the field or the fault.
func (e *BodyError) Error() string {
	if e.Cause != nil {
		return "unreadable body: " + e.Cause.Error()
	}
	return "body lacks " + e.Field
}

// Unwrap gives the cause.
func (e *BodyError) Unwrap() error { return e.Cause }

// Job is what a completion request asks for.
type Job struct {
	Chat         bool
	Model        string
	Prompt       string // first prompt, without an answer so far
	Given        int    // tokens that the caller already has
	Limit        int    // limit on new tokens, 0 for none
	Priority     int    // lower runs first
	Stream       bool
	IncludeUsage bool
}

// End is the index after the last token of the answer.
func (j *Job) End() int {
	if j.Limit == 0 {
		return max(Length(j.Prompt, 0), j.Given)
	}
	return max(Length(j.Prompt, j.Given+j.Limit), j.Given)
}

// finishReason is the reason the answer ends at End.
func (j *Job) finishReason() string {
	if j.End() < naturalLength(j.Prompt) {
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

// ParseJob reads the body of a chat or text completion; an error is a
// *BodyError.
func ParseJob(chat bool, body []byte) (*Job, error) {
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, &BodyError{Cause: err}
	}
	j := &Job{
		Chat:         chat,
		Model:        b.Model,
		Limit:        max(b.MaxTokens, b.MaxCompletionTokens),
		Priority:     b.Priority,
		Stream:       b.Stream,
		IncludeUsage: b.StreamOptions.IncludeUsage,
	}
	if !chat {
		return j, j.readPrompt(b.Prompt)
	}
	return j, j.readMessages(&b)
}

func (j *Job) readPrompt(raw json.RawMessage) error {
	var prompt string
	if json.Unmarshal(raw, &prompt) != nil {
		var list []string
		if json.Unmarshal(raw, &list) != nil || len(list) != 1 {
			return &BodyError{Field: "a prompt of one text"}
		}
		prompt = list[0]
	}
	j.Prompt, j.Given = splitResumed(prompt)
	return nil
}

func (j *Job) readMessages(b *completionBody) error {
	if len(b.Messages) == 0 {
		return &BodyError{Field: "messages"}
	}
	if !b.ContinueFinalMessage {
		j.Prompt = ChatPrompt(b.Messages)
		return nil
	}
	last := b.Messages[len(b.Messages)-1]
	if last.Role != "assistant" || b.AddGenerationPrompt == nil || *b.AddGenerationPrompt {
		return &BodyError{Field: "a final assistant message with add_generation_prompt false"}
	}
	j.Prompt = ChatPrompt(b.Messages[:len(b.Messages)-1])
	given, ok := countTokens(PromptHash(j.Prompt), last.Content)
	if !ok {
		j.Prompt = ChatPrompt(b.Messages)
		return nil
	}
	j.Given = given
	return nil
}
