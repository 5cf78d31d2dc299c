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

const operatorToken = "drill-operator-token"

var operatorTokenHash = func() string {
	sum := sha256.Sum256([]byte(operatorToken))
	return hex.EncodeToString(sum[:])
}()

// operator submits tickets and records which revisions were accepted.
type operator struct {
	fleet             *fleet
	client            *http.Client
	nextNumber        uint64
	acceptedRevisions map[uint64]uint64 // by ticket number
	revisionDecreases int
	newestRevision    map[string]uint64 // reported so far, by process name
}

func newOperator(f *fleet) *operator {
	return &operator{fleet: f, client: rpc.Client(nil), nextNumber: 1, acceptedRevisions: map[uint64]uint64{}, newestRevision: map[string]uint64{}}
}

// adminClient returns a client of the control host with index i, modulo their
// number.
func (o *operator) adminClient(i int) trefoilkeelv1connect.AdminServiceClient {
	return trefoilkeelv1connect.NewAdminServiceClient(o.client, o.fleet.controlHosts[i%controlHostCount].url)
}

// authorized returns a request with the token of the operator.
func authorized[T any](message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+operatorToken)
	return request
}

// submit sends one ticket to one control host after another until one returns a
// verdict, which must be an acceptance. It returns false if ctx ends first.
func (o *operator) submit(ctx context.Context, t *ticket.Ticket) bool {
	t.Number = o.nextNumber
	t.Author = "drill"
	encoded, err := ticket.Encode(t)
	Expect(err).NotTo(HaveOccurred())
	for i := 0; ctx.Err() == nil; i++ {
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		response, err := o.adminClient(i).SubmitTicket(callCtx, authorized(&trefoilkeelv1.SubmitTicketRequest{Ticket: encoded}))
		cancel()
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		Expect(response.Msg.GetVerdict()).To(Equal(trefoilkeelv1.Verdict_VERDICT_ACCEPTED), response.Msg.String())
		o.acceptedRevisions[t.Number] = response.Msg.GetRevision()
		o.nextNumber++
		return true
	}
	return false
}

// submitFirstTicket submits the first ticket of the rally example.
func (o *operator) submitFirstTicket(ctx context.Context) {
	text, err := os.ReadFile("../../examples/rally/ticket-001.toml")
	Expect(err).NotTo(HaveOccurred())
	t, err := ticket.DecodeTOML(text)
	Expect(err).NotTo(HaveOccurred())
	Expect(o.submit(ctx, t)).To(BeTrue())
}

// submitTickets submits a small ticket per second and checks the revisions of the
// routers until ctx ends.
func (o *operator) submitTickets(ctx context.Context) {
	for ctx.Err() == nil {
		name := fmt.Sprintf("drill-%d", o.nextNumber)
		o.submit(ctx, &ticket.Ticket{Summary: "add a limit", Limits: []ticket.Limit{{Name: name, Concurrency: 10}}})
		o.checkRevisions()
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

// checkRevisions counts routers whose revision decreased. Revision 0 is ignored:
// a restarted router reports it until it has a configuration.
func (o *operator) checkRevisions() {
	for _, p := range o.fleet.routers {
		r, ok := p.queryReadiness()
		if !ok || r.Revision == 0 {
			continue
		}
		if r.Revision < o.newestRevision[p.name] {
			o.revisionDecreases++
		}
		o.newestRevision[p.name] = max(o.newestRevision[p.name], r.Revision)
	}
}

// countLostTickets counts accepted tickets that the history of the first control
// host lacks or holds under another revision.
func (o *operator) countLostTickets(ctx context.Context) int {
	found := map[uint64]uint64{}
	Eventually(func() error {
		var after uint64
		for {
			response, err := o.adminClient(0).ListTickets(ctx, authorized(&trefoilkeelv1.ListTicketsRequest{AfterRevision: after, Limit: 100}))
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
	for number, revision := range o.acceptedRevisions {
		if found[number] != revision {
			lost++
		}
	}
	return lost
}
