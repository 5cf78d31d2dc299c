package drill_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

const token = "drill-operator-token"

var tokenHash = func() string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}()

// operator submits tickets and remembers what was accepted.
type operator struct {
	fleet    *fleet
	client   *http.Client
	next     uint64
	accepted map[uint64]uint64 // revision by number
	reverted int
	newest   map[string]uint64 // newest revision that each process has reported
}

func newOperator(f *fleet) *operator {
	return &operator{fleet: f, client: rpc.Client(nil), next: 1, accepted: map[uint64]uint64{}, newest: map[string]uint64{}}
}

// admin returns a client of the i-th control host.
func (o *operator) admin(i int) trefoilkeelv1connect.AdminServiceClient {
	return trefoilkeelv1connect.NewAdminServiceClient(o.client, o.fleet.controls[i%controls].url)
}

// authorized adds the operator's token.
func authorized[T any](message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+token)
	return request
}

// submit sends one ticket to every control host in turn until one gives a
// verdict. It reports whether the ticket was accepted.
func (o *operator) submit(ctx context.Context, t *ticket.Ticket) bool {
	t.Number = o.next
	t.Author = "drill"
	encoded, err := ticket.Encode(t)
	Expect(err).NotTo(HaveOccurred())
	for i := 0; ctx.Err() == nil; i++ {
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		response, err := o.admin(i).SubmitTicket(callCtx, authorized(&trefoilkeelv1.SubmitTicketRequest{Ticket: encoded}))
		cancel()
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		Expect(response.Msg.GetVerdict()).To(Equal(trefoilkeelv1.Verdict_VERDICT_ACCEPTED), response.Msg.String())
		o.accepted[t.Number] = response.Msg.GetRevision()
		o.next++
		return true
	}
	return false
}

// first submits the rally's first ticket.
func (o *operator) first(ctx context.Context) {
	text, err := os.ReadFile("../../examples/rally/ticket-001.toml")
	Expect(err).NotTo(HaveOccurred())
	t, err := ticket.DecodeTOML(text)
	Expect(err).NotTo(HaveOccurred())
	Expect(o.submit(ctx, t)).To(BeTrue())
}

// run submits a small ticket a second and watches the revisions until ctx ends.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		name := fmt.Sprintf("drill-%d", o.next)
		o.submit(ctx, &ticket.Ticket{Summary: "a limit more", Limits: []ticket.Limit{{Name: name, Concurrency: 10}}})
		o.watch()
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

// watch counts processes whose revision went back without a restart from nothing.
func (o *operator) watch() {
	for _, p := range o.fleet.routers {
		r, ok := p.state()
		if !ok || r.Revision == 0 {
			continue
		}
		if r.Revision < o.newest[p.name] {
			o.reverted++
		}
		o.newest[p.name] = max(o.newest[p.name], r.Revision)
	}
}

// lost counts accepted tickets that a control host's history does not hold.
func (o *operator) lost(ctx context.Context) int {
	found := map[uint64]uint64{}
	Eventually(func() error {
		var after uint64
		for {
			response, err := o.admin(0).ListTickets(ctx, authorized(&trefoilkeelv1.ListTicketsRequest{AfterRevision: after, Limit: 100}))
			if err != nil {
				return err
			}
			for _, record := range response.Msg.GetTickets() {
				found[record.GetNumber()] = record.GetRevision()
				after = record.GetRevision()
			}
			if len(response.Msg.GetTickets()) == 0 {
				return nil
			}
		}
	}, "20s").Should(Succeed())
	lost := 0
	for number, revision := range o.accepted {
		if found[number] != revision {
			lost++
		}
	}
	return lost
}
