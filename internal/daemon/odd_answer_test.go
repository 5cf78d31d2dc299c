package daemon_test

import (
	"io"
	"maps"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/answer/answertest"
	"github.com/trefoilkeel/trefoilkeel/internal/daemon"
)

// Guards against odd and cut answers of agents that a router takes for answers.
func TestOddAnswerOfAnAgentIsAnError(t *testing.T) {
	answers := map[string]string{"no length": "HTTP/1.1 200 OK\r\n\r\npart of the answer"}
	maps.Copy(answers, answertest.OddHeads)
	maps.Copy(answers, answertest.FoldedHeads)
	for name, answer := range answertest.OddTrailers {
		answers["trailer, "+name] = answer
	}
	client := daemon.AgentHTTPClient()
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			response, err := client.Post("http://"+answertest.Serve(t, answer), "text/plain", http.NoBody)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}
