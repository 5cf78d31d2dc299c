package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

const testAPIPathPrefix = "/standin/"

// newTestAPIHandler serves fault injection and the records of a stand-in.
func newTestAPIHandler(injector *faultInjector, records *recorder) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /standin/fault", func(w http.ResponseWriter, r *http.Request) {
		var fault Fault
		if !readJSON(w, r, &fault) {
			return
		}
		if err := injector.inject(time.Now(), fault); err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		writeJSON(w, http.StatusOK, fault)
	})
	mux.HandleFunc("GET /standin/records", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, records.snapshot())
	})
	return mux
}

// abortWhileDown aborts every connection while the stand-in is down, except those
// to the test API.
func abortWhileDown(injector *faultInjector, testAPI, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, testAPIPathPrefix) {
			testAPI.ServeHTTP(w, r)
			return
		}
		if injector.isDown(time.Now()) {
			abortConnection()
		}
		next.ServeHTTP(w, r)
	})
}

type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, errorResponse{errorDetail{Message: err.Error(), Type: "standin_error", Code: status}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encodeJSON(v))
}

// encodeJSON encodes a response of this package. It returns no error, since the
// types of the responses always encode.
func encodeJSON(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return body
}

// readBody reads a body of at most maxBodyBytes; if that fails, it responds with
// the error and returns false.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, &InvalidBodyError{Cause: err})
		return nil, false
	}
	return body, true
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, ok := readBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, v); err != nil {
		writeError(w, http.StatusBadRequest, &InvalidBodyError{Cause: err})
		return false
	}
	return true
}
