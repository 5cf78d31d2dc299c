package dispatch

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ErrorType classifies why a request was not served.
type ErrorType string

// Values of type and code in the JSON error that callers receive.
const (
	InvalidRequest          ErrorType = "invalid_request"
	Unauthenticated         ErrorType = "unauthenticated"
	Forbidden               ErrorType = "forbidden"
	UnknownModel            ErrorType = "unknown_model"
	UnknownService          ErrorType = "unknown_service"
	UnknownClass            ErrorType = "unknown_class"
	BodyTooLarge            ErrorType = "body_too_large"
	IdempotencyKeyRequired  ErrorType = "idempotency_key_required"
	IdempotencyKeyConflict  ErrorType = "idempotency_key_conflict"
	LimitExceeded           ErrorType = "limit_exceeded"
	Overloaded              ErrorType = "overloaded"        // load shed from a queue
	Busy                    ErrorType = "busy"              // another candidate may start it sooner; never returned to a caller
	PatienceExceeded        ErrorType = "patience_exceeded" // did not start within the maximum wait of its class
	DeadlineExceeded        ErrorType = "deadline_exceeded"
	NoEndpoint              ErrorType = "no_endpoint"
	Draining                ErrorType = "draining"
	WrongIncarnation        ErrorType = "wrong_incarnation"
	Tombstoned              ErrorType = "tombstoned"
	Duplicate               ErrorType = "duplicate"
	EndpointFailed          ErrorType = "endpoint_failed"
	OutcomeUnknown          ErrorType = "outcome_unknown"
	LedgerUnavailable       ErrorType = "ledger_unavailable"
	NotConfigured           ErrorType = "not_configured"
	AnswerNotStored         ErrorType = "answer_not_kept"
	Preempted               ErrorType = "preempted"
	Stopping                ErrorType = "stopping"
	EndpointResponseInvalid ErrorType = "endpoint_unreadable"
)

// RequestError is the error of a request that was not served. Agents return it to
// routers, and routers to callers, as JSON.
type RequestError struct {
	Type       ErrorType
	Status     int    // HTTP status
	Execution  string // a value of HeaderExecution
	Message    string
	RetryAfter time.Duration // 0 for none
}

func (e *RequestError) Error() string { return string(e.Type) + ": " + e.Message }

// errorBody is the JSON form of the error. OpenAI clients can parse it.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type      ErrorType `json:"type"`
	Code      ErrorType `json:"code"`
	Message   string    `json:"message"`
	Execution string    `json:"execution"`
}

// Body returns the JSON form of e.
func (e *RequestError) Body() []byte {
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Type: e.Type, Code: e.Type, Message: e.Message, Execution: e.Execution,
	}})
	if err != nil {
		return nil
	}
	return body
}

// Write sends e as a complete HTTP response.
func (e *RequestError) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderExecution, e.Execution)
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(e.Body())
}

// ParseRequestError parses a response that Write sent. It returns false if the body is
// not the JSON form of a RequestError.
func ParseRequestError(resp *http.Response, body []byte) (*RequestError, bool) {
	var parsed errorBody
	if json.Unmarshal(body, &parsed) != nil || parsed.Error.Type == "" {
		return nil, false
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return &RequestError{
		Type:       parsed.Error.Type,
		Status:     resp.StatusCode,
		Execution:  resp.Header.Get(HeaderExecution),
		Message:    parsed.Error.Message,
		RetryAfter: time.Duration(seconds) * time.Second,
	}, true
}
