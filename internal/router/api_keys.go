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

// apiKeyIndex maps the hash of an API key to its workspace, for one configuration
// revision.
type apiKeyIndex struct {
	config          *ticket.Configuration
	workspaceByHash map[[sha256.Size]byte]string
}

// newAPIKeyIndex indexes the keys of a configuration. Malformed hashes are skipped:
// validation already rejects them.
func newAPIKeyIndex(config *ticket.Configuration) *apiKeyIndex {
	index := &apiKeyIndex{config: config, workspaceByHash: map[[sha256.Size]byte]string{}}
	for name, workspace := range config.Workspaces {
		for _, hexHash := range workspace.KeyHashes {
			if hash, err := hex.DecodeString(hexHash); err == nil && len(hash) == sha256.Size {
				index.workspaceByHash[[sha256.Size]byte(hash)] = name
			}
		}
	}
	return index
}

// lookup returns the workspace of a bearer key. The map lookup uses the key's hash,
// so its timing reveals nothing about a key; the final comparison takes constant
// time.
func (index *apiKeyIndex) lookup(key string) (ticket.Workspace, bool) {
	hash := sha256.Sum256([]byte(key))
	workspace := index.config.Workspaces[index.workspaceByHash[hash]]
	for _, hexHash := range workspace.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(hexHash), []byte(hex.EncodeToString(hash[:]))) == 1 {
			return workspace, true
		}
	}
	return ticket.Workspace{}, false
}

// currentKeyIndex returns the key index of the current configuration, nil if there
// is none. It is rebuilt when the configuration changes.
func (rt *Router) currentKeyIndex() *apiKeyIndex {
	config := rt.options.ConfigSource.Configuration()
	if config == nil {
		return nil
	}
	if keys := rt.apiKeys.Load(); keys != nil && keys.config == config {
		return keys
	}
	keys := newAPIKeyIndex(config)
	rt.apiKeys.Store(keys)
	return keys
}

// authenticate returns the workspace of the request's bearer key and the
// configuration that it was read from.
func (rt *Router) authenticate(r *http.Request) (*ticket.Configuration, ticket.Workspace, *dispatch.RequestError) {
	if rt.stopping.Load() {
		return nil, ticket.Workspace{}, temporarilyUnavailable(r, dispatch.Stopping, "this entry is stopping; call again")
	}
	keys := rt.currentKeyIndex()
	if keys == nil {
		return nil, ticket.Workspace{}, temporarilyUnavailable(r, dispatch.NotConfigured, "no configuration is in force yet")
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, ticket.Workspace{}, notRunError(dispatch.Unauthenticated, http.StatusUnauthorized, "send the key as 'Authorization: Bearer KEY'")
	}
	workspace, found := keys.lookup(strings.TrimSpace(key))
	if !found {
		return nil, ticket.Workspace{}, notRunError(dispatch.Unauthenticated, http.StatusUnauthorized, "the key is unknown")
	}
	return keys.config, workspace, nil
}

// temporarilyUnavailable returns an error for a temporary condition. A request with
// an Idempotency-Key may repeat one that ran, so not-run cannot be reported
// without asking the ledger.
func temporarilyUnavailable(r *http.Request, errorType dispatch.ErrorType, message string) *dispatch.RequestError {
	reqErr := notRunError(errorType, http.StatusServiceUnavailable, message)
	reqErr.RetryAfter = time.Second
	if r.Header.Get(HeaderIdempotencyKey) != "" {
		reqErr.Execution = dispatch.ExecutionUnknown
	}
	return reqErr
}
