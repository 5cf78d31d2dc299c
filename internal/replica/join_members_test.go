package replica

import (
	"context"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
)

// Guards against a change of the hosts to join through that is lost since the node loop is behind with its requests.
var _ = It("asks the newest hosts to join through, also if its queue of requests was full when they changed", func() {
	asked := make(chan struct{}, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		select {
		case asked <- struct{}{}:
		default:
		}
	}))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	DeferCleanup(server.Close)
	client := rpc.Client(nil)
	DeferCleanup(client.CloseIdleConnections)
	r, err := Open(Options{ID: 1, ClusterName: "test", Ephemeral: true, NewStateMachine: func() StateMachine { return &listMachine{} }, HTTPClient: client})
	Expect(err).NotTo(HaveOccurred())
	mayLead := true
	for r.controls.TryPut(&controlRequest{mayLead: &mayLead, done: make(chan outcome, 1)}) == nil {
	}
	r.SetJoinMembers([]Member{{ID: 2, URL: server.URL}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- r.Run(ctx) }()
	Eventually(asked, eventuallyTimeout).Should(Receive())
	cancel()
	Expect(<-ended).To(Succeed())
})
