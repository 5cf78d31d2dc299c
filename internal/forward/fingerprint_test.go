package forward

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/balance"
)

// Guards against requests that are taken for each other: too wide a fingerprint condemns sound
// requests, too narrow a one never sees a request again.
func TestFingerprintNamesWhatARequestAsksFor(t *testing.T) {
	g := NewWithT(t)
	base := Request{ID: "r1", Workspace: "w", Method: "GET", Host: "h", RequestURI: "/p/?a=1", Body: []byte("body")}
	again := base
	again.ID, again.Service, again.LastEventID, again.PromptParts = "r2", "other", "7", []balance.PromptPart{{ID: 1, Tokens: 2}}
	g.Expect(fingerprint(&again)).To(Equal(fingerprint(&base)))
	for name, change := range map[string]func(r *Request){
		"workspace":    func(r *Request) { r.Workspace = "v" },
		"method":       func(r *Request) { r.Method = "POST" },
		"host":         func(r *Request) { r.Host = "i" },
		"path":         func(r *Request) { r.RequestURI = "/q/?a=1" },
		"query":        func(r *Request) { r.RequestURI = "/p/?a=2" },
		"body":         func(r *Request) { r.Body = []byte("bodz") },
		"end of body":  func(r *Request) { r.Body = append(make([]byte, 4<<20), 1) },
		"field bounds": func(r *Request) { r.Workspace, r.Method = "wG", "ET" },
	} {
		changed := base
		change(&changed)
		g.Expect(fingerprint(&changed)).NotTo(Equal(fingerprint(&base)), name)
	}
}
