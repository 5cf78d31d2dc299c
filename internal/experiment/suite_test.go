package experiment

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

func TestExperiment(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "experiment")
}
