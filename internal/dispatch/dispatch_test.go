package dispatch_test

import (
	"flag"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

func TestCopyEndToEndHeaders(t *testing.T) {
	cases := map[string]struct{ from, want http.Header }{
		"end to end":          {http.Header{"Accept": {"a", "b"}, "Content-Type": {"c"}}, http.Header{"Accept": {"a", "b"}, "Content-Type": {"c"}}},
		"internal":            {http.Header{"Tk-Request-Id": {"x"}, "Tk-Other": {"x"}, "Trefoilkeel-Execution": {"ran"}}, http.Header{}},
		"framing":             {http.Header{"Content-Length": {"3"}, "Transfer-Encoding": {"chunked"}, "Trailer": {"X"}, "Te": {"trailers"}, "Expect": {"100-continue"}}, http.Header{}},
		"connection":          {http.Header{"Keep-Alive": {"1"}, "Upgrade": {"h2c"}, "Proxy-Connection": {"1"}, "Proxy-Authorization": {"x"}}, http.Header{}},
		"named by Connection": {http.Header{"Connection": {"close, x-one ,", "X-Two"}, "X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3"}}, http.Header{"X-Three": {"3"}}},
		"names no header":     {http.Header{"Connection": {" ,,\t, no header"}, "X-One": {"1"}}, http.Header{"X-One": {"1"}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got := http.Header{}
			dispatch.CopyEndToEndHeaders(got, c.from)
			g.Expect(got).To(Equal(c.want))
		})
	}
}

var headerNames = []string{"Accept", "X-One", "X-Two", "Te", "Upgrade", "Content-Length", "Tk-Class", "Tk-X", "Trefoilkeel-Execution", "X-Request-Id"}

func TestCopyEndToEndHeadersProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := http.Header(rapid.MapOf(rapid.SampledFrom(headerNames), rapid.SliceOfN(rapid.String(), 1, 3)).Draw(t, "from"))
		named := rapid.SliceOf(rapid.SampledFrom(headerNames)).Draw(t, "named")
		from["Connection"] = []string{strings.ToLower(strings.Join(named, " , "))}
		before := from.Clone()
		got := http.Header{}
		dispatch.CopyEndToEndHeaders(got, from)
		for name, values := range got {
			if strings.HasPrefix(name, "Tk-") || name == dispatch.HeaderExecution || name == "Connection" || slices.Contains(named, name) {
				t.Fatalf("%s was copied", name)
			}
			if !slices.Equal(values, from[name]) {
				t.Fatalf("%s became %q", name, values)
			}
			values[0] += "changed"
		}
		if !maps.EqualFunc(before, from, slices.Equal) {
			t.Fatal("the source changed")
		}
		for _, name := range []string{"Accept", "X-One", "X-Two"} {
			if _, copied := got[name]; from[name] != nil && !copied && !slices.Contains(named, name) {
				t.Fatalf("%s was not copied", name)
			}
		}
	})
}

func TestMetadataRoundTrip(t *testing.T) {
	text := rapid.StringMatching(`[a-z0-9][a-z0-9.-]{0,40}`)
	milliseconds := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(0, 1<<40-1).Draw(t, "ms")) * time.Millisecond
	})
	rapid.Check(t, func(t *rapid.T) {
		want := &dispatch.Metadata{
			RequestID: text.Draw(t, "id"), AttemptNumber: rapid.Uint32().Draw(t, "attempt"), Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			Workspace: text.Draw(t, "workspace"), Class: text.Draw(t, "class"), Model: text.Draw(t, "model"),
			Protected: rapid.Bool().Draw(t, "protected"), MayRefuseAsBusy: rapid.Bool().Draw(t, "may refuse as busy"), Resumable: rapid.Bool().Draw(t, "resumable"),
			TimeToDeadline: milliseconds.Draw(t, "time to deadline"), StartTimeout: milliseconds.Draw(t, "start timeout"), ConfigRevision: rapid.Uint64().Draw(t, "revision"),
			CandidatesTried: rapid.IntRange(0, 1<<31-1).Draw(t, "candidates tried"), LatestStartUnixMS: rapid.Int64Range(0, 1<<62-1).Draw(t, "latest start"),
		}
		h := http.Header{}
		want.SetHeaders(h)
		got, err := dispatch.ParseMetadata(h)
		if err != nil || *got != *want {
			t.Fatalf("%+v became %+v: %v", want, got, err)
		}
		// If any header is missing, the error names it.
		names := slices.Sorted(maps.Keys(h))
		name := rapid.SampledFrom(names).Draw(t, "missing")
		h.Del(name)
		_, err = dispatch.ParseMetadata(h)
		headerErr, ok := err.(*dispatch.HeaderError)
		if !ok || headerErr.Header != name {
			t.Fatalf("%s missing: %v", name, err)
		}
	})
}

func TestRequestErrorRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := &dispatch.RequestError{
			Type:       rapid.SampledFrom([]dispatch.ErrorType{dispatch.Overloaded, dispatch.Busy, dispatch.OutcomeUnknown}).Draw(t, "type"),
			Status:     rapid.IntRange(400, 599).Draw(t, "status"),
			Execution:  rapid.SampledFrom([]string{dispatch.ExecutionNotRun, dispatch.ExecutionRan, dispatch.ExecutionUnknown}).Draw(t, "execution"),
			Message:    rapid.String().Draw(t, "message"),
			RetryAfter: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "retry after")),
		}
		recorder := httptest.NewRecorder()
		want.Write(recorder)
		response := recorder.Result()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		got, ok := dispatch.ParseRequestError(response, body)
		if !ok {
			t.Fatalf("not read: %s", body)
		}
		// Retry-After is rounded up to whole seconds.
		if added := got.RetryAfter - want.RetryAfter; added < 0 || added >= time.Second {
			t.Fatalf("%v became %v", want.RetryAfter, got.RetryAfter)
		}
		got.RetryAfter = want.RetryAfter
		if *got != *want {
			t.Fatalf("%+v became %+v", want, got)
		}
	})
	for _, body := range []string{"", "null", "[]", `{"error":"x"}`, `{"error":{}}`, `{"error":{"message":"x"}}`} {
		if _, ok := dispatch.ParseRequestError(&http.Response{Header: http.Header{}}, []byte(body)); ok {
			t.Fatalf("%s was read", body)
		}
	}
}
