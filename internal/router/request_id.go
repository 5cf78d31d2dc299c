package router

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// requestIDGenerator generates request IDs that are unique across processes.
type requestIDGenerator struct {
	prefix  string
	counter atomic.Uint64
}

// newRequestIDGenerator returns a generator whose IDs start with the process name
// and 64 random bits.
func newRequestIDGenerator(name string) *requestIDGenerator {
	var randomBytes [8]byte
	_, _ = rand.Read(randomBytes[:]) // crypto/rand.Read never returns an error
	return &requestIDGenerator{prefix: name + "-" + hex.EncodeToString(randomBytes[:]) + "-"}
}

func (g *requestIDGenerator) newID() string {
	return g.prefix + strconv.FormatUint(g.counter.Add(1), 36)
}
