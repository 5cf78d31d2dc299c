package router_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

// refuseAnother puts a server before the agent of an endpoint. It passes an attempt to the agent, which
// serves it, and responds with a refusal of another attempt. other replaces the attempt that the
// refusal names. The returned counter is the number of attempts.
func (cluster *testCluster) refuseAnother(name string, refusal dispatch.RequestError, other string) *atomic.Int64 {
	agentHandler, attempts := cluster.agents[name].Handler(), &atomic.Int64{}
	for _, endpoint := range cluster.endpoints {
		if endpoint.GetName() != name {
			continue
		}
		endpoint.AgentUrl = cluster.startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, dispatch.PathPrefix) {
				agentHandler.ServeHTTP(w, r)
				return
			}
			attempts.Add(1)
			agentHandler.ServeHTTP(httptest.NewRecorder(), r)
			w.Header().Set(dispatch.HeaderRefused, other)
			refusal.Write(w)
		}))
	}
	return attempts
}

// Guards against: an agent's refusal of another attempt, repeated on a kept connection, is taken for
// the refusal of one that runs, which is then claimed again or reported as not run.
var _ = DescribeTable("a refusal of another attempt is not believed", func(errorType dispatch.ErrorType, status int) {
	refusal := dispatch.RequestError{Type: errorType, Status: status, Execution: dispatch.ExecutionNotRun, Message: "refused"}
	for _, other := range []string{"other/1/1", "/1/1", "other"} {
		cluster := newTestCluster(1)
		var attempts []*atomic.Int64
		for name := range cluster.agents {
			attempts = append(attempts, cluster.refuseAnother(name, refusal, other))
		}
		fee := cluster.send(testRequest{path: "/services/entries/fees", body: "rider 7", header: map[string]string{"Idempotency-Key": "k1", standin.HeaderRunKey: "k1"}})
		Expect(fee.status).To(Equal(http.StatusOK), fee.body)
		Expect(cluster.service.Records().Runs["k1"]).To(Equal(1))
		answer := cluster.send(chatRequest("which stage is closed?", 5, false))
		Expect(answer.status).To(Equal(http.StatusBadGateway), answer.body)
		Expect(answer.execution).To(Equal(dispatch.ExecutionUnknown))
		total := int64(0)
		for _, n := range attempts {
			total += n.Load()
		}
		Expect(total).To(Equal(int64(2)), "one attempt each")
		cluster.shutdown()
	}
},
	Entry("503, draining", dispatch.Draining, http.StatusServiceUnavailable),
	Entry("429, overloaded", dispatch.Overloaded, http.StatusTooManyRequests),
	Entry("409, another incarnation", dispatch.WrongIncarnation, http.StatusConflict),
	Entry("502, endpoint unreachable", dispatch.EndpointFailed, http.StatusBadGateway),
)

var _ = It("an agent names the attempt that it refuses", func() {
	cluster := newTestCluster(1)
	defer cluster.shutdown()
	request := httptest.NewRequest(http.MethodPost, dispatch.PathPrefix+"/x", nil)
	(&dispatch.Metadata{RequestID: "r1", AttemptNumber: 2, Incarnation: 7, Workspace: "riders", Class: "questions", Model: "advice"}).SetHeaders(request.Header)
	response := httptest.NewRecorder()
	cluster.agents["engine-0"].Handler().ServeHTTP(response, request)
	Expect(response.Header().Get(dispatch.HeaderExecution)).To(Equal(dispatch.ExecutionNotRun))
	Expect(response.Header().Get(dispatch.HeaderRefused)).To(Equal("r1/2/7"))
	Expect(json.Valid(response.Body.Bytes())).To(BeTrue())
})
