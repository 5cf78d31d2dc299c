package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
)

// Role permits a group of calls. Every role includes RoleRead.
type Role string

const (
	RoleRead   Role = "read"   // check, show, list, watch, status
	RoleSubmit Role = "submit" // submit tickets
	RoleDrain  Role = "drain"  // drain endpoints, add and remove control hosts
)

// Token identifies an operator by the hash of a bearer token.
type Token struct {
	Name  string // the operator's name, recorded as author of the operator's changes
	Hash  string // lower-case hex SHA-256 of the token
	Roles []Role
}

// Certificate identifies an operator by a verified client certificate.
type Certificate struct {
	Name  string // common name, recorded as author of the operator's changes
	Roles []Role
}

// Auth lists the identities that may call. The zero value refuses every call.
type Auth struct {
	Tokens       []Token
	Certificates []Certificate
	// AllowAnonymous gives a caller without an Authorization header and without a
	// listed certificate every role, and accepts any author in its tickets. Use it
	// only for a listener on loopback.
	AllowAnonymous bool
}

// AuthConfigError reports an invalid token or certificate entry.
type AuthConfigError struct {
	Name    string
	Problem string
}

// Error implements error.
func (e *AuthConfigError) Error() string { return "admin identity " + e.Name + ": " + e.Problem }

// DeniedError reports why a call was refused before it had any effect.
type DeniedError struct {
	Reason string
}

// Error implements error.
func (e *DeniedError) Error() string { return e.Reason }

// anonymousName is the name of an anonymous caller, in the log and as the author of
// its tickets that name none.
const anonymousName = "local"

// Validate returns an *AuthConfigError for each problem of an entry.
func (a Auth) Validate() []error {
	var problems []error
	hashes := map[string]bool{}
	for _, t := range a.Tokens {
		problems = append(problems, validateEntry(t.Name, t.Roles)...)
		raw, err := hex.DecodeString(t.Hash)
		if err != nil || len(raw) != sha256.Size || strings.ToLower(t.Hash) != t.Hash {
			problems = append(problems, &AuthConfigError{Name: t.Name, Problem: "hash is not 64 lower-case hex digits"})
		}
		if hashes[t.Hash] {
			problems = append(problems, &AuthConfigError{Name: t.Name, Problem: "hash is listed twice"})
		}
		hashes[t.Hash] = true
	}
	for _, c := range a.Certificates {
		problems = append(problems, validateEntry(c.Name, c.Roles)...)
	}
	return problems
}

func validateEntry(name string, roles []Role) []error {
	var problems []error
	if name == "" {
		problems = append(problems, &AuthConfigError{Problem: "name is missing"})
	}
	if len(roles) == 0 {
		problems = append(problems, &AuthConfigError{Name: name, Problem: "has no role"})
	}
	for _, r := range roles {
		if r != RoleRead && r != RoleSubmit && r != RoleDrain {
			problems = append(problems, &AuthConfigError{Name: name, Problem: "role " + string(r) + " is unknown; use read, submit or drain"})
		}
	}
	return problems
}

// caller is the identity that makes a call. An anonymous caller has every role.
type caller struct {
	name      string
	roles     []Role
	anonymous bool
}

func (c caller) hasRole(role Role) bool {
	return c.anonymous || slices.Contains(c.roles, role) || role == RoleRead && len(c.roles) > 0
}

// authenticate identifies the caller by its bearer token or, without an
// Authorization header, by its client certificate.
func (a Auth) authenticate(r *http.Request) (caller, bool) {
	if header := r.Header.Get("Authorization"); header != "" {
		token, isBearer := strings.CutPrefix(header, "Bearer ")
		if !isBearer {
			return caller{}, false
		}
		return a.authenticateToken(token)
	}
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		name := r.TLS.VerifiedChains[0][0].Subject.CommonName
		for _, c := range a.Certificates {
			if c.Name == name && name != "" {
				return caller{name: c.Name, roles: c.Roles}, true
			}
		}
	}
	return caller{name: anonymousName, anonymous: a.AllowAnonymous}, a.AllowAnonymous
}

// authenticateToken compares the hash with every entry, also after a match, so
// that the response time does not reveal which entry matched.
func (a Auth) authenticateToken(token string) (caller, bool) {
	sum := sha256.Sum256([]byte(token))
	presentedHash := []byte(hex.EncodeToString(sum[:]))
	var found caller
	var ok bool
	for _, t := range a.Tokens {
		if subtle.ConstantTimeCompare(presentedHash, []byte(t.Hash)) == 1 {
			found, ok = caller{name: t.Name, roles: t.Roles}, true
		}
	}
	return found, ok
}

// requiredRole maps each procedure to the role it needs. Other procedures get
// HTTP status 404.
var requiredRole = map[string]Role{
	trefoilkeelv1connect.AdminServiceSubmitTicketProcedure: RoleSubmit,
	trefoilkeelv1connect.AdminServiceCheckTicketProcedure:  RoleRead,
	trefoilkeelv1connect.AdminServiceShowStateProcedure:    RoleRead,
	trefoilkeelv1connect.AdminServiceListTicketsProcedure:  RoleRead,
	trefoilkeelv1connect.AdminServiceWatchProcedure:        RoleRead,
	trefoilkeelv1connect.AdminServiceStatusProcedure:       RoleRead,
	trefoilkeelv1connect.AdminServiceDrainProcedure:        RoleDrain,
	trefoilkeelv1connect.AdminServiceAddHostProcedure:      RoleDrain,
	trefoilkeelv1connect.AdminServiceRemoveHostProcedure:   RoleDrain,
}

// authHandler authenticates and authorizes calls before their body is read.
type authHandler struct {
	auth      Auth
	next      http.Handler
	logger    *slog.Logger
	errors    *connect.ErrorWriter
	denialLog denialLogLimiter
}

// ServeHTTP implements http.Handler.
func (h *authHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, known := h.auth.authenticate(r)
	if !known {
		h.denyCall(w, r, connect.CodeUnauthenticated, caller{}, "a valid token or client certificate is needed")
		return
	}
	role, exists := requiredRole[r.URL.Path]
	if !exists {
		http.NotFound(w, r)
		return
	}
	if !c.hasRole(role) {
		h.denyCall(w, r, connect.CodePermissionDenied, c, c.name+" does not have the role "+string(role))
		return
	}
	h.next.ServeHTTP(w, r.WithContext(contextWithCaller(r.Context(), c)))
}

func (h *authHandler) denyCall(w http.ResponseWriter, r *http.Request, code connect.Code, c caller, reason string) {
	if skipped, ok := h.denialLog.allow(time.Now().Unix()); ok {
		h.logger.Warn("admin call denied", "procedure", r.URL.Path, "author", c.name,
			"code", code.String(), "remote", r.RemoteAddr, "skipped", skipped)
	}
	_ = h.errors.Write(w, r, connect.NewError(code, &DeniedError{Reason: reason}))
}

const maxDenialLogsPerSecond = 10

// denialLogLimiter limits the log lines about denied calls per second, so that
// callers without a token can't fill a disk.
type denialLogLimiter struct {
	mu         sync.Mutex
	unixSecond int64
	written    int
	skipped    int
}

// allow reports whether a line may be written in the given Unix second, and how
// many lines were skipped since the last one.
func (l *denialLogLimiter) allow(unixSecond int64) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if unixSecond != l.unixSecond {
		l.unixSecond, l.written = unixSecond, 0
	}
	if l.written == maxDenialLogsPerSecond {
		l.skipped++
		return 0, false
	}
	l.written++
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}

type callKey struct{}

func contextWithCaller(ctx context.Context, c caller) context.Context {
	return context.WithValue(ctx, callKey{}, &callRecord{caller: c})
}

func callerFromContext(ctx context.Context) caller {
	if c := callFromContext(ctx); c != nil {
		return c.caller
	}
	return caller{}
}

func callFromContext(ctx context.Context) *callRecord {
	c, _ := ctx.Value(callKey{}).(*callRecord)
	return c
}
