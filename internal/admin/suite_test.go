package admin_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/admin"
)

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admin")
}

// Callers without a token could fill a disk with log lines. The test makes 100
// denied calls in one second and one in the next: 10 and 1 may be logged.
func TestDeniedCallsCannotFillTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logs bytes.Buffer
		_, handler := admin.NewHandler(newFakeBackend(), admin.Auth{}, slog.New(slog.NewJSONHandler(&logs, nil)))
		call := func() {
			r := httptest.NewRequest(http.MethodPost, trefoilkeelv1connect.AdminServiceStatusProcedure, strings.NewReader("{}"))
			handler.ServeHTTP(httptest.NewRecorder(), r)
		}
		for range 100 {
			call()
		}
		time.Sleep(time.Second)
		call()
		lines := strings.Count(logs.String(), "admin call denied")
		if lines != 11 || !strings.Contains(logs.String(), `"skipped":90`) {
			t.Fatalf("%d lines:\n%s", lines, logs.String())
		}
	})
}
