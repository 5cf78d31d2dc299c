package entry

import (
	"io"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// bodyBudgetStep is the size in which bytes are taken from a BodyBudget.
const bodyBudgetStep = 16 << 10

// BodyBudget limits the memory that the bodies of all open requests take together. It is
// safe for concurrent use.
type BodyBudget struct {
	free *semaphore.Weighted
}

// NewBodyBudget returns a budget of this many bytes, of which a request takes some even
// for a short body.
func NewBodyBudget(bytes int64) *BodyBudget { return &BodyBudget{free: semaphore.NewWeighted(bytes)} }

// BodyBudgetError reports that the bodies of open requests leave no room for another one.
type BodyBudgetError struct{}

func (e *BodyBudgetError) Error() string { return "no memory is left for the body of the request" }

// ReadAll reads r to its end. The caller must call release once the body is no longer
// used. An error is a *BodyBudgetError or that of r; nothing is taken then.
func (b *BodyBudget) ReadAll(r io.Reader) (body []byte, release func(), err error) {
	budgeted := &budgetedReader{Reader: r, free: b.free}
	body, err = io.ReadAll(budgeted)
	release = func() { b.free.Release(budgeted.taken) }
	if err != nil {
		release()
		return nil, nil, err
	}
	return body, release, nil
}

// budgetedReader takes the bytes that it reads from a budget.
type budgetedReader struct {
	io.Reader
	free        *semaphore.Weighted
	taken, read int64
}

func (r *budgetedReader) Read(p []byte) (int, error) {
	for r.taken <= r.read {
		if !r.free.TryAcquire(bodyBudgetStep) {
			return 0, errors.WithStack(&BodyBudgetError{})
		}
		r.taken += bodyBudgetStep
	}
	n, err := r.Reader.Read(p[:min(int64(len(p)), r.taken-r.read)])
	r.read += int64(n)
	return n, err
}
