package router

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// keyIndex finds the workspace of a key by the key's hash, for one revision.
type keyIndex struct {
	state *ticket.State
	names map[[sha256.Size]byte]string
}

// newKeyIndex indexes the keys of a configuration. Malformed hashes are
// passed over: validation has refused them.
func newKeyIndex(state *ticket.State) *keyIndex {
	index := &keyIndex{state: state, names: map[[sha256.Size]byte]string{}}
	for name, workspace := range state.Workspaces {
		for _, text := range workspace.KeyHashes {
			if hash, err := hex.DecodeString(text); err == nil && len(hash) == sha256.Size {
				index.names[[sha256.Size]byte(hash)] = name
			}
		}
	}
	return index
}

// find returns the workspace of a bearer key. The look-up is by the hash, so
// its time says nothing about a key; the last comparison is in constant time.
func (x *keyIndex) find(key string) (ticket.Workspace, bool) {
	hash := sha256.Sum256([]byte(key))
	workspace := x.state.Workspaces[x.names[hash]]
	for _, text := range workspace.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(text), []byte(hex.EncodeToString(hash[:]))) == 1 {
			return workspace, true
		}
	}
	return ticket.Workspace{}, false
}

// index returns the key index of the configuration in force.
func (rt *Router) index() *keyIndex {
	state := rt.options.Source.State()
	if state == nil {
		return nil
	}
	if index := rt.keys.Load(); index != nil && index.state == state {
		return index
	}
	index := newKeyIndex(state)
	rt.keys.Store(index)
	return index
}

// authenticate finds the workspace of the request's bearer key.
func (rt *Router) authenticate(r *http.Request) (*ticket.State, ticket.Workspace, *dispatch.Refusal) {
	if rt.stopping.Load() {
		return nil, ticket.Workspace{}, notNow(r, dispatch.Stopping, "this entry is stopping; call again")
	}
	index := rt.index()
	if index == nil {
		return nil, ticket.Workspace{}, notNow(r, dispatch.NotConfigured, "no configuration is in force yet")
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, ticket.Workspace{}, refusal(dispatch.Unauthenticated, http.StatusUnauthorized, "send the key as 'Authorization: Bearer KEY'")
	}
	workspace, found := index.find(strings.TrimSpace(key))
	if !found {
		return nil, ticket.Workspace{}, refusal(dispatch.Unauthenticated, http.StatusUnauthorized, "the key is unknown")
	}
	return index.state, workspace, nil
}

// notNow refuses for a reason that passes. A call with an Idempotency-Key may
// repeat one that ran, so not-run can't be said of it without the ledger.
func notNow(r *http.Request, kind dispatch.RefusalType, message string) *dispatch.Refusal {
	refused := refusal(kind, http.StatusServiceUnavailable, message)
	refused.RetryAfter = time.Second
	if r.Header.Get(HeaderIdempotencyKey) != "" {
		refused.Execution = dispatch.Unknown
	}
	return refused
}
