package drill_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// formationTimeout bounds the time from the start of the control hosts to the
// verdict on the first ticket.
const formationTimeout = 30 * time.Second

// Control hosts that run as separate processes, started with --settings, form a
// group and accept the first ticket.
func TestSeparateControlHostsAcceptFirstTicket(t *testing.T) {
	RegisterTestingT(t)
	bin := filepath.Join(t.TempDir(), "trefoilkeeld")
	output, err := exec.Command("go", "build", "-o", bin, "../../cmd/trefoilkeeld").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
	f := newFleet(t, bin)
	for _, p := range f.controlHosts {
		p.start()
		t.Cleanup(p.kill)
	}
	ctx, cancel := context.WithTimeout(context.Background(), formationTimeout)
	defer cancel()
	newOperator(f).submitFirstTicket(ctx)
}
