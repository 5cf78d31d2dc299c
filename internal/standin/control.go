package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

const controlPrefix = "/standin/"

// controlHandler serves the faults and the records of a stand-in.
func controlHandler(f *faults, rec *recorder) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /standin/fault", func(w http.ResponseWriter, r *http.Request) {
		var fault Fault
		if !readJSON(w, r, &fault) {
			return
		}
		if err := f.set(time.Now(), fault); err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		writeJSON(w, http.StatusOK, fault)
	})
	mux.HandleFunc("GET /standin/records", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, rec.records())
	})
	return mux
}

// withDown aborts every request of a stand-in that is down, but for control.
func withDown(f *faults, control, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, controlPrefix) {
			control.ServeHTTP(w, r)
			return
		}
		if f.isDown(time.Now()) {
			abort()
		}
		next.ServeHTTP(w, r)
	})
}

type errorAnswer struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, errorAnswer{errorDetail{Message: err.Error(), Type: "standin_error", Code: status}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encode(v))
}

// encode is the JSON of one of this package's own answers.
func encode(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return body
}

// readBody reads a bounded body; it answers for itself if that fails.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, &BodyError{Cause: err})
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
		writeError(w, http.StatusBadRequest, &BodyError{Cause: err})
		return false
	}
	return true
}
