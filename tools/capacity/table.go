package main

import (
	"fmt"
	"io"
	"strconv"
)

// missingError says that a benchmark no longer reports a figure.
type missingError struct {
	benchmark, unit string
}

// Error names the benchmark and the unit.
func (e *missingError) Error() string {
	return fmt.Sprintf("benchmark %s reports no %s", e.benchmark, e.unit)
}

// writeTable prints each row as measured. It fails with a *missingError or
// what the writer returns.
func writeTable(w io.Writer, measured figures) error {
	const head = "| role | figure | measured | times | result | limit | |\n|---|---|---|---|---|---|---|\n"
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for _, r := range rows {
		slope, found := measured[r.benchmark][r.slope]
		if !found {
			return &missingError{benchmark: r.benchmark, unit: r.slope}
		}
		if _, err := io.WriteString(w, r.line(slope)); err != nil {
			return err
		}
	}
	return nil
}

// line is the row in Markdown.
func (r row) line(slope float64) string {
	result := slope * r.factor
	limit := "none set"
	if r.limit != 0 {
		limit = number(r.limit) + " " + r.unit
	}
	return fmt.Sprintf("| %s | %s | %s %s | %s | %s %s | %s | %s |\n",
		r.role, r.figure, number(slope), r.slope, r.times, number(result), r.unit, limit, r.verdict(result))
}

// verdict compares the result with the limit.
func (r row) verdict(result float64) string {
	switch {
	case r.limit == 0:
		return ""
	case r.atLeast && result >= r.limit, !r.atLeast && result <= r.limit:
		return "within"
	default:
		return "over"
	}
}

// number prints three significant digits without an exponent.
func number(v float64) string {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 3, 64), 64)
	if err != nil {
		return "?"
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
