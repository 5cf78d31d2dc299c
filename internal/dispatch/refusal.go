package dispatch

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// RefusalType classifies why a request was not served.
type RefusalType string

// Values of type and code in the JSON error that callers receive.
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
	Overloaded         RefusalType = "overloaded"        // load shed from a queue
	Busy               RefusalType = "busy"              // another candidate may start it sooner; never returned to a caller
	PatienceExceeded   RefusalType = "patience_exceeded" // did not start within the maximum wait of its class
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

// Refusal is the error of a request that was not served. Agents and routers return it
// up to the caller, who receives it as JSON.
type Refusal struct {
	Type       RefusalType
	Status     int    // HTTP status
	Execution  string // a value of HeaderExecution
	Message    string
	RetryAfter time.Duration // 0 for none
}

func (r *Refusal) Error() string { return string(r.Type) + ": " + r.Message }

// errorBody is the JSON form of the error. OpenAI clients can parse it.
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

// Write sends r as a complete HTTP response.
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

// ReadRefusal parses a response that Write sent. It returns false if the body is not
// the JSON form of a refusal.
func ReadRefusal(resp *http.Response, body []byte) (*Refusal, bool) {
	var parsed errorBody
	if json.Unmarshal(body, &parsed) != nil || parsed.Error.Type == "" {
		return nil, false
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return &Refusal{
		Type:       parsed.Error.Type,
		Status:     resp.StatusCode,
		Execution:  resp.Header.Get(HeaderExecution),
		Message:    parsed.Error.Message,
		RetryAfter: time.Duration(seconds) * time.Second,
	}, true
}
