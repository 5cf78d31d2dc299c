package entry

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/balance"
)

// sharer answers for failure domains that are in reach.
type sharer struct {
	reach map[string]bool
}

func (s *sharer) Share(ctx context.Context, _ map[string]balance.Share) (map[string]balance.Share, error) {
	return s.SharesOf(ctx, "a")
}

func (s *sharer) SharesOf(_ context.Context, domain string) (map[string]balance.Share, error) {
	if !s.reach[domain] {
		return nil, errors.New("out of reach")
	}
	return map[string]balance.Share{domain + "0": {Running: 3}}, nil
}

func (s *sharer) Domains() []string { return []string{"b", "c"} }

// Pattern: a failure domain is cut off. An answer that is lost changes nothing;
// after a while its load counts as unknown, and as known again once it is heard.
func TestAFailureDomainThatIsCutOffIsUnknown(t *testing.T) {
	g := NewWithT(t)
	s := &sharer{reach: map[string]bool{"a": true, "b": true, "c": true}}
	x := &exchange{sharer: s, domain: "a", entry: New(Options{Logger: slog.New(slog.DiscardHandler)}), heard: map[string]heard{}}
	round := func() { x.near(context.Background()); x.far(context.Background()) }
	round()
	now := time.Now()
	g.Expect(x.current(now)).To(HaveLen(3))
	g.Expect(x.current(now)["b"]).To(HaveKeyWithValue("b0", balance.Share{Running: 3}))
	s.reach["c"] = false
	round()
	g.Expect(x.current(now)).To(HaveKey("c"), "one answer is missing")
	g.Expect(x.current(now.Add(heardAge - 100*time.Millisecond))).To(HaveKey("c"))
	x.heard["c"] = heard{at: now.Add(-heardAge - time.Millisecond)}
	round()
	g.Expect(x.current(time.Now())).To(And(HaveKey("a"), HaveKey("b"), Not(HaveKey("c"))))
	s.reach["c"] = true
	round()
	g.Expect(x.current(time.Now())).To(HaveKey("c"))
}
