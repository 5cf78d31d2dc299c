package answer

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// UncountedBytes is the length up to which an answer takes nothing of a Budget: ordinary answers are read while
	// long ones have used it up.
	UncountedBytes   = 64 << 10
	firstBufferBytes = 8 << 10
)

// BudgetError reports that an answer was not read since long answers together take the memory that they may.
type BudgetError struct {
	ReadBytes int // of this answer
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("%d bytes of the answer were read, and other long answers take the memory for the rest", e.ReadBytes)
}

// TooLongError reports an answer that is longer than its limit.
type TooLongError struct {
	LimitBytes int
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("the answer is longer than %d bytes", e.LimitBytes)
}

// Budget bounds the memory that the long answers of servers take together. It is safe for concurrent use.
type Budget struct {
	memory *semaphore.Weighted
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int64) *Budget { return &Budget{memory: semaphore.NewWeighted(bytes)} }

// Buffer is the memory of one answer, as counted in a budget. Release must be called once the answer is not used any more.
// A nil buffer counts nothing.
type Buffer struct {
	budget  *Budget
	counted int64
}

// NewBuffer returns a buffer that counts in a budget, or in none if that is nil.
func (b *Budget) NewBuffer() *Buffer { return &Buffer{budget: b} }

// count changes the memory that the buffer counts to that of a number of bytes. It returns false if the budget does not have it.
func (b *Buffer) count(bytes int) bool {
	if b == nil || b.budget == nil {
		return true
	}
	counted := int64(max(bytes-UncountedBytes, 0))
	if counted > b.counted && !b.budget.memory.TryAcquire(counted-b.counted) {
		return false
	}
	if counted < b.counted {
		b.budget.memory.Release(b.counted - counted)
	}
	b.counted = counted
	return true
}

// Grow returns a slice of twice the length, or of limit bytes, with the same content. The error is a *BudgetError.
func (b *Buffer) Grow(content []byte, limit int) ([]byte, error) {
	size := min(max(2*len(content), firstBufferBytes), limit)
	if !b.count(len(content) + size) { // both, while one is copied to the other
		return nil, errors.WithStack(&BudgetError{ReadBytes: len(content)})
	}
	grown := make([]byte, size)
	copy(grown, content)
	b.count(size)
	return grown, nil
}

// Release gives the memory back to the budget.
func (b *Buffer) Release() { b.count(0) }

// ReadAll reads an answer of up to limit bytes into the buffer. Errors are *TooLongError, *BudgetError or that of reading.
func (b *Buffer) ReadAll(source io.Reader, limit int) ([]byte, error) {
	var content []byte
	length := 0
	for {
		if length == len(content) {
			if length > limit {
				return nil, errors.WithStack(&TooLongError{LimitBytes: limit})
			}
			grown, err := b.Grow(content, limit+1)
			if err != nil {
				return nil, err
			}
			content = grown
		}
		n, err := source.Read(content[length:])
		length += n
		switch {
		case length > limit:
			return nil, errors.WithStack(&TooLongError{LimitBytes: limit})
		case err == io.EOF:
			return content[:length], nil
		case err != nil:
			return nil, err
		}
	}
}
