package experiment

import (
	"bytes"
	"fmt"
	"html"
	"image/color"
	"io"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter / 2
)

var (
	colorTrefoilkeel = color.RGBA{R: 31, G: 119, B: 180, A: 255}
	colorBaseline    = color.RGBA{R: 255, G: 127, B: 14, A: 255}
	colorOffered     = color.RGBA{R: 127, G: 127, B: 127, A: 255}
)

const pageHeadFormat = `<!doctype html><html lang="en"><head><meta charset="utf-8"><title>%s</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}
td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}td:first-child,th:first-child{text-align:left}</style>
</head><body><h1>%s, seed %d</h1>
`

// WriteHTML writes the report as a single HTML page with inline SVG plots.
func (r *Report) WriteHTML(w io.Writer) error {
	var page bytes.Buffer
	name := html.EscapeString(r.Scenario)
	fmt.Fprintf(&page, pageHeadFormat, name, name, r.Seed)
	runs := []namedRun{{"trefoilkeel", &r.RunReport, colorTrefoilkeel}}
	if r.Baseline != nil {
		runs = append(runs, namedRun{"baseline", r.Baseline, colorBaseline})
	}
	for _, newPlot := range []func([]namedRun) (*plot.Plot, error){newAttainmentPlot, newGoodputPlot} {
		if err := addPlot(&page, newPlot, runs); err != nil {
			return err
		}
	}
	for _, run := range runs {
		run.writeTable(&page)
	}
	page.WriteString("</body></html>\n")
	_, err := page.WriteTo(w)
	return errors.Wrap(err, "write the HTML report")
}

// namedRun is the report of one run with its name and color in the plots.
type namedRun struct {
	name   string
	report *RunReport
	color  color.Color
}

func addPlot(page *bytes.Buffer, newPlot func([]namedRun) (*plot.Plot, error), runs []namedRun) error {
	p, err := newPlot(runs)
	if err != nil {
		return errors.Wrap(err, "plot the report")
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return errors.Wrap(err, "write a plot")
	}
	if at := bytes.Index(svg.Bytes(), []byte("<svg")); at > 0 {
		svg.Next(at)
	}
	_, err = svg.WriteTo(page)
	return errors.Wrap(err, "write a plot")
}

// newAttainmentPlot plots the attainment as one bar per class and run.
func newAttainmentPlot(runs []namedRun) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "attainment by class"
	p.Y.Min, p.Y.Max = 0, 1
	classes := sortedKeys(runs[0].report.Classes)
	for i, run := range runs {
		var values plotter.Values
		for _, class := range classes {
			value := 0.0
			if c := run.report.Classes[class]; c != nil {
				value = c.Attainment
			}
			values = append(values, value)
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, errors.Wrap(err, "plot the attainment")
		}
		bars.Color = run.color
		bars.Offset = barWidth*vg.Length(i) - barWidth*vg.Length(len(runs)-1)/2
		p.Add(bars)
		p.Legend.Add(run.name, bars)
	}
	p.NominalX(classes...)
	p.Legend.Top = true
	return p, nil
}

// newGoodputPlot plots the requests offered and the answers within target, per
// second.
func newGoodputPlot(runs []namedRun) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "requests offered and answers within target"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "a second"
	if err := addLine(p, "offered", colorOffered, runs[0].report.perSecond, func(v secondCounts) int { return v.offered }); err != nil {
		return nil, err
	}
	for _, run := range runs {
		if err := addLine(p, run.name, run.color, run.report.perSecond, func(v secondCounts) int { return v.attained }); err != nil {
			return nil, err
		}
	}
	p.Legend.Top = true
	return p, nil
}

func addLine(p *plot.Plot, name string, c color.Color, series []secondCounts, value func(secondCounts) int) error {
	points := make(plotter.XYs, len(series))
	for i, v := range series {
		points[i] = plotter.XY{X: float64(i), Y: float64(value(v))}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrap(err, "plot a time series")
	}
	line.Color = c
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// writeTable writes the figures of a run as an HTML table.
func (run namedRun) writeTable(page *bytes.Buffer) {
	fmt.Fprintf(page, "<h2>%s</h2><table><tr><th>class</th><th>offered</th><th>attained</th><th>attainment</th>"+
		"<th>finished</th><th>shed</th><th>ttft p50 ms</th><th>ttft p95 ms</th><th>tbt p95 ms</th></tr>\n", run.name)
	for _, class := range sortedKeys(run.report.Classes) {
		c := run.report.Classes[class]
		fmt.Fprintf(page, "<tr><td>%s</td><td>%d</td><td>%d</td><td>%.3f</td><td>%d</td><td>%d</td><td>%.0f</td><td>%.0f</td><td>%.1f</td></tr>\n",
			html.EscapeString(class), c.Offered, c.Attained, c.Attainment, c.Finished, c.Shed, c.TTFTP50MS, c.TTFTP95MS, c.TBTP95MS)
	}
	fmt.Fprintf(page, "</table><p>goodput %.2f/s, wasted share %.4f, violations %d</p>\n",
		run.report.GoodputPerSecond, run.report.WastedTokenFraction, run.report.Violations.Total())
}
