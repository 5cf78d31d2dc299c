package dispatch

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// RefusalType names why a request got no answer.
type RefusalType string

// The refusal types, as callers see them in the JSON error.
const (
	InvalidRequest     RefusalType = "invalid_request"
	Unauthenticated    RefusalType = "unauthenticated"
	Forbidden          RefusalType = "forbidden"
	UnknownModel       RefusalType = "unknown_model"
	UnknownService     RefusalType = "unknown_service"
	UnknownClass       RefusalType = "unknown_class"
	BodyTooLarge       RefusalType = "body_too_large"
	KeyRequired        RefusalType = "idempotency_key_required"
	KeyConflict        RefusalType = "idempotency_key_conflict"
	LimitExceeded      RefusalType = "limit_exceeded"
	Overloaded         RefusalType = "overloaded"        // shed from a queue
	Busy               RefusalType = "busy"              // another candidate may be sooner; never passed to a caller
	PatienceExceeded   RefusalType = "patience_exceeded" // not started in time
	DeadlineExceeded   RefusalType = "deadline_exceeded"
	NoEndpoint         RefusalType = "no_endpoint"
	Draining           RefusalType = "draining"
	WrongIncarnation   RefusalType = "wrong_incarnation"
	Tombstoned         RefusalType = "tombstoned"
	Duplicate          RefusalType = "duplicate"
	EndpointFailed     RefusalType = "endpoint_failed"
	OutcomeUnknown     RefusalType = "outcome_unknown"
	LedgerUnavailable  RefusalType = "ledger_unavailable"
	NotConfigured      RefusalType = "not_configured"
	AnswerNotKept      RefusalType = "answer_not_kept"
	Preempted          RefusalType = "preempted"
	Stopping           RefusalType = "stopping"
	EndpointUnreadable RefusalType = "endpoint_unreadable"
)

// Refusal is a request that got no answer. It is the error that every part of
// the path passes up, and the JSON that a caller gets.
type Refusal struct {
	Type       RefusalType
	Status     int    // HTTP status
	Execution  string // NotRun, Ran or Unknown
	Message    string
	RetryAfter time.Duration // 0: not said
}

// Error gives the type and the message.
func (r *Refusal) Error() string { return string(r.Type) + ": " + r.Message }

// errorBody is the JSON form; it matches what OpenAI clients read.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type      RefusalType `json:"type"`
	Code      RefusalType `json:"code"`
	Message   string      `json:"message"`
	Execution string      `json:"execution"`
}

// Body returns the JSON form of r.
func (r *Refusal) Body() []byte {
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Type: r.Type, Code: r.Type, Message: r.Message, Execution: r.Execution,
	}})
	if err != nil {
		return nil
	}
	return body
}

// Write sends r as a whole HTTP answer.
func (r *Refusal) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderExecution, r.Execution)
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body())
}

// ReadRefusal reads what Write sent; ok is false if the body is not one.
func ReadRefusal(resp *http.Response, body []byte) (*Refusal, bool) {
	var e errorBody
	if json.Unmarshal(body, &e) != nil || e.Error.Type == "" {
		return nil, false
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return &Refusal{
		Type:       e.Error.Type,
		Status:     resp.StatusCode,
		Execution:  resp.Header.Get(HeaderExecution),
		Message:    e.Error.Message,
		RetryAfter: time.Duration(seconds) * time.Second,
	}, true
}
