package main

import (
	"errors"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	measured := figures{}
	parse("goos: linux\nBenchmarkA/n=3-10 \t 1\t 5 ns/op\t 0.5 x-%\nBenchmarkB-10\nPASS\n", measured)
	if len(measured) != 1 || measured["A/n=3"]["ns/op"] != 5 || measured["A/n=3"]["x-%"] != 0.5 {
		t.Errorf("parsed %v", measured)
	}
}

func TestVerdict(t *testing.T) {
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
		if got := c.row.verdict(c.result); got != c.want {
			t.Errorf("%v of %v: %q, not %q", c.result, c.row.limit, got, c.want)
		}
	}
}

func TestMissingFigure(t *testing.T) {
	var missing *missingError
	if err := writeTable(&strings.Builder{}, figures{}); !errors.As(err, &missing) {
		t.Errorf("got %v", err)
	}
}
