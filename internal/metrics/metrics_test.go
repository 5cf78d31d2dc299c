package metrics_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
)

// Guards against a metric that is missing in the operators' documentation: every
// name in metrics.go must appear in docs/METRICS.md.
func TestEveryMetricIsDocumented(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	g.Expect(err).NotTo(HaveOccurred())
	file, err := parser.ParseFile(token.NewFileSet(), "metrics.go", nil, 0)
	g.Expect(err).NotTo(HaveOccurred())
	names := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		for _, value := range spec.Values {
			name, err := strconv.Unquote(value.(*ast.BasicLit).Value)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(page)).To(ContainSubstring("`"+name+"`"), name)
			names++
		}
		return true
	})
	g.Expect(names).To(BeNumerically(">", 10))
}

func TestRegistryWritesRecordedMetrics(t *testing.T) {
	g := NewWithT(t)
	r := metrics.New()
	r.AddToCounter(metrics.Retries, 2)
	r.AddToCounter(metrics.Retries, 1)
	r.SetGauge(metrics.Revision, 7)
	r.RecordDuration(metrics.ClassFirstTokenPrefix+"questions", time.Second)
	g.Expect(r.CounterValue(metrics.Retries)).To(Equal(int64(3)))
	var text bytes.Buffer
	r.WriteJSON(&text)
	g.Expect(text.String()).To(ContainSubstring(`"revision":{"value":7}`))
	g.Expect(text.String()).To(ContainSubstring(`class.first_token.questions`))
}
