package main

import (
	"errors"
	"strings"
	"testing"
)

func TestParseOutput(t *testing.T) {
	results := measurements{}
	parseOutput("goos: linux\nBenchmarkA/n=3-10 \t 1\t 5 ns/op\t 0.5 x-%\nBenchmarkB-10\nPASS\n", results)
	if len(results) != 1 || results["A/n=3"]["ns/op"] != 5 || results["A/n=3"]["x-%"] != 0.5 {
		t.Errorf("parsed %v", results)
	}
}

func TestLimitVerdict(t *testing.T) {
	for _, c := range []struct {
		row    row
		result float64
		want   string
	}{
		{row{}, 1, ""},
		{row{limit: 5}, 5, "within"},
		{row{limit: 5}, 5.1, "over"},
		{row{limit: 5, atLeast: true}, 4.9, "over"},
		{row{limit: 5, atLeast: true}, 5, "within"},
	} {
		if got := c.row.limitVerdict(c.result); got != c.want {
			t.Errorf("result %v with limit %v: got %q, want %q", c.result, c.row.limit, got, c.want)
		}
	}
}

func TestMissingMetric(t *testing.T) {
	var missing *missingMetricError
	if err := writeTable(&strings.Builder{}, measurements{}); !errors.As(err, &missing) {
		t.Errorf("got %v, want a missingMetricError", err)
	}
}
