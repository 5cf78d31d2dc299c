package main

import (
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestLossesAreClassified gives one line for each loss and reason.
func TestLossesAreClassified(t *testing.T) {
	lines := []string{
		`  1.2 front-a-1/entry {"msg":"request ended","time":"2026-06-12T11:35:08Z","request":"r1","route":"chat","endpoint":"e1","status":200,"runs":1,"first_ms":90,"target_ms":100,"pause_ms":20,"pause_target_ms":50,"error":""}`,
		`{"msg":"request ended","time":"2026-06-12T11:35:08Z","route":"chat","endpoint":"e1","status":200,"runs":1,"first_ms":190,"target_ms":100,"expected_ms":150}`,
		`{"msg":"request ended","time":"2026-06-12T11:35:08Z","route":"chat","endpoint":"e1","status":200,"runs":1,"first_ms":190,"target_ms":100,"expected_ms":15}`,
		`{"msg":"request ended","time":"2026-06-12T11:35:08Z","route":"chat","endpoint":"e1","status":200,"runs":2,"first_ms":190,"target_ms":100}`,
		`{"msg":"request ended","time":"2026-06-12T11:35:12Z","route":"chat","endpoint":"e2","status":200,"runs":1,"first_ms":9,"target_ms":100,"pause_ms":70,"pause_target_ms":50}`,
		`{"msg":"request ended","time":"2026-06-12T11:35:12Z","route":"chat","endpoint":"e2","status":200,"runs":1,"first_ms":9,"target_ms":100,"pause_ms":70,"pause_target_ms":50,"resumes":1}`,
		`{"msg":"request ended","time":"2026-06-12T11:35:12Z","request":"r7","route":"chat","status":0,"error":"no_endpoint: 18 known, 3 too late"}`,
		`{"msg":"request ended","time":"2026-06-12T11:35:12Z","route":"chat","status":0,"runs":1,"error":"timed_out: the request's time is over"}`,
		`{"msg":"request ended","time":"2026-06-12T11:35:12Z","route":"chat","status":500,"runs":1}`,
		`{"msg":"endpoint known","time":"2026-06-12T11:35:12Z"}`,
		`no JSON, but request ended`,
	}
	requests, err := readRequests(strings.NewReader(strings.Join(lines, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, r := range requests {
		l, reason := r.classify()
		got = append(got, strings.TrimSpace(string(l)+" "+reason))
	}
	want := []string{"", "late first event: expected", "late first event: slower than expected", "late first event: further attempt",
		"late pause", "late pause: resumed", "refused no_endpoint: # known, # too late", "failed timed_out: the request's time is over", "failed the endpoint's own status"}
	if !slices.Equal(got, want) {
		t.Errorf("losses are %q, want %q", got, want)
	}
	summary := summarize(requests, 2*time.Second)
	for _, row := range []string{`chat +9 +5 +1 +2\n`, `11:35:08 +4 +3 +0 +0\n`} {
		if !regexp.MustCompile(row).MatchString(summary) {
			t.Errorf("no row %s in\n%s", row, summary)
		}
	}
	if list := listLosses(requests); !strings.Contains(list, " r7 ") {
		t.Errorf("r7 is missing in\n%s", list)
	}
}
