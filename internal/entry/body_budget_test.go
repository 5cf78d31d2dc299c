package entry

import (
	"errors"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// endlessReader never ends.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// Bodies without end, or many at once, must not fill the memory: whoever finds no room is
// refused, and room that is given back is used again.
func TestBodyBudgetIsNeverExceeded(t *testing.T) {
	g := NewWithT(t)
	b := NewBodyBudget(4 * bodyBudgetStep)
	var budgetErr *BodyBudgetError
	_, _, err := b.ReadAll(endlessReader{})
	g.Expect(errors.As(err, &budgetErr)).To(BeTrue(), "%v", err)

	long := strings.Repeat("x", 2*bodyBudgetStep+1)
	body, release, err := b.ReadAll(strings.NewReader(long))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body) == long).To(BeTrue())
	_, _, err = b.ReadAll(strings.NewReader(long))
	g.Expect(errors.As(err, &budgetErr)).To(BeTrue(), "%v", err)
	short, releaseShort, err := b.ReadAll(strings.NewReader("short"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(short)).To(Equal("short"))
	release()
	releaseShort()
	for range 3 {
		_, release, err := b.ReadAll(strings.NewReader(long))
		g.Expect(err).NotTo(HaveOccurred())
		release()
		_, _, err = b.ReadAll(io.MultiReader(strings.NewReader(long), brokenReader{}))
		g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	}
	g.Expect(b.free.TryAcquire(4*bodyBudgetStep)).To(BeTrue(), "all of it has been given back")
}

// brokenReader ends with an error.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
