package router

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// requestIDs makes request identities that no other process makes.
type requestIDs struct {
	prefix string
	next   atomic.Uint64
}

// newRequestIDs begins a series with the process name and 64 random bits.
func newRequestIDs(name string) *requestIDs {
	var nonce [8]byte
	_, _ = rand.Read(nonce[:]) // crypto/rand.Read never returns an error
	return &requestIDs{prefix: name + "-" + hex.EncodeToString(nonce[:]) + "-"}
}

// make returns a new identity.
func (s *requestIDs) make() string { return s.prefix + strconv.FormatUint(s.next.Add(1), 36) }
