package main

import (
	"fmt"
	"io"
	"strconv"
)

// missingMetricError reports a metric that a benchmark does not report.
type missingMetricError struct {
	benchmark, metric string
}

// Error implements error.
func (e *missingMetricError) Error() string {
	return fmt.Sprintf("benchmark %s reports no %s", e.benchmark, e.metric)
}

// writeTable writes the rows as a Markdown table. It fails with a
// *missingMetricError or the writer's error.
func writeTable(w io.Writer, measured measurements) error {
	const header = "| role | figure | measured | times | result | limit | |\n|---|---|---|---|---|---|---|\n"
	if _, err := io.WriteString(w, header); err != nil {
		return err
	}
	for _, r := range rows {
		unitCost, found := measured[r.benchmark][r.metric]
		if !found {
			return &missingMetricError{benchmark: r.benchmark, metric: r.metric}
		}
		if _, err := io.WriteString(w, r.markdown(unitCost)); err != nil {
			return err
		}
	}
	return nil
}

// markdown formats the row as a line of a Markdown table.
func (r row) markdown(unitCost float64) string {
	result := unitCost * r.factor
	limit := "none set"
	if r.limit != 0 {
		limit = formatNumber(r.limit) + " " + r.unit
	}
	return fmt.Sprintf("| %s | %s | %s %s | %s | %s %s | %s | %s |\n",
		r.role, r.quantity, formatNumber(unitCost), r.metric, r.factorText, formatNumber(result), r.unit, limit, r.limitVerdict(result))
}

// limitVerdict tells whether the result meets the limit; empty without a limit.
func (r row) limitVerdict(result float64) string {
	switch {
	case r.limit == 0:
		return ""
	case r.atLeast && result >= r.limit, !r.atLeast && result <= r.limit:
		return "within"
	default:
		return "over"
	}
}

// formatNumber formats a number with three significant digits and no exponent.
func formatNumber(v float64) string {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 3, 64), 64)
	if err != nil {
		return "?"
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
