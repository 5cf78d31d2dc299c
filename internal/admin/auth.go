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

// Role is a right to a group of calls. Every role includes RoleRead.
type Role string

// The roles.
const (
	RoleRead   Role = "read"   // check, show, list, watch, status
	RoleSubmit Role = "submit" // submit tickets
	RoleDrain  Role = "drain"  // drain endpoints, add and remove control hosts
)

// Token is a bearer token by its hash.
type Token struct {
	Name  string // of the operator, the author of what it changes
	Hash  string // lower-case hex SHA-256 of the token
	Roles []Role
}

// Certificate is the owner of a verified client certificate.
type Certificate struct {
	Name  string // common name, the author of what it changes
	Roles []Role
}

// Auth tells who may call. The zero value refuses every call.
type Auth struct {
	Tokens       []Token
	Certificates []Certificate
	// Open gives every caller every role and takes a ticket's author as
	// written; only for a listener on loopback.
	Open bool
}

// AuthError reports a token or certificate entry that can't be used.
type AuthError struct {
	Name    string
	Problem string
}

// Error names the entry.
func (e *AuthError) Error() string { return "admin identity " + e.Name + ": " + e.Problem }

// DeniedError says why a call was refused before it did anything.
type DeniedError struct {
	Reason string
}

// Error gives the reason.
func (e *DeniedError) Error() string { return e.Reason }

// openName is the author of calls on an open listener.
const openName = "local"

// Validate returns every unusable entry as a *AuthError.
func (a Auth) Validate() []error {
	var problems []error
	hashes := map[string]bool{}
	for _, t := range a.Tokens {
		problems = append(problems, validateEntry(t.Name, t.Roles)...)
		raw, err := hex.DecodeString(t.Hash)
		if err != nil || len(raw) != sha256.Size || strings.ToLower(t.Hash) != t.Hash {
			problems = append(problems, &AuthError{Name: t.Name, Problem: "hash is not 64 lower-case hex digits"})
		}
		if hashes[t.Hash] {
			problems = append(problems, &AuthError{Name: t.Name, Problem: "hash is listed twice"})
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
		problems = append(problems, &AuthError{Problem: "name is missing"})
	}
	if len(roles) == 0 {
		problems = append(problems, &AuthError{Name: name, Problem: "has no role"})
	}
	for _, r := range roles {
		if r != RoleRead && r != RoleSubmit && r != RoleDrain {
			problems = append(problems, &AuthError{Name: name, Problem: "role " + string(r) + " is unknown; use read, submit or drain"})
		}
	}
	return problems
}

// caller is who makes a call.
type caller struct {
	name  string
	roles []Role
	open  bool
}

func (c caller) may(role Role) bool {
	return c.open || slices.Contains(c.roles, role) || role == RoleRead && len(c.roles) > 0
}

// identify finds the caller by bearer token, else by client certificate.
func (a Auth) identify(r *http.Request) (caller, bool) {
	if header := r.Header.Get("Authorization"); header != "" {
		token, isBearer := strings.CutPrefix(header, "Bearer ")
		if !isBearer {
			return caller{}, false
		}
		return a.byToken(token)
	}
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		name := r.TLS.VerifiedChains[0][0].Subject.CommonName
		for _, c := range a.Certificates {
			if c.Name == name && name != "" {
				return caller{name: c.Name, roles: c.Roles}, true
			}
		}
	}
	return caller{name: openName, open: a.Open}, a.Open
}

// byToken compares the hash with every entry, whether or not one matched.
func (a Auth) byToken(token string) (caller, bool) {
	sum := sha256.Sum256([]byte(token))
	presented := []byte(hex.EncodeToString(sum[:]))
	var found caller
	var ok bool
	for _, t := range a.Tokens {
		if subtle.ConstantTimeCompare(presented, []byte(t.Hash)) == 1 {
			found, ok = caller{name: t.Name, roles: t.Roles}, true
		}
	}
	return found, ok
}

// roleOf maps each procedure to the role it needs; others are refused.
var roleOf = map[string]Role{
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

// gate refuses calls before their body is read.
type gate struct {
	auth   Auth
	next   http.Handler
	logger *slog.Logger
	errors *connect.ErrorWriter
	denied deniedLines
}

// ServeHTTP authenticates the caller and checks its role.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, known := g.auth.identify(r)
	if !known {
		g.deny(w, r, connect.CodeUnauthenticated, caller{}, "a valid token or client certificate is needed")
		return
	}
	role, exists := roleOf[r.URL.Path]
	if !exists {
		http.NotFound(w, r)
		return
	}
	if !c.may(role) {
		g.deny(w, r, connect.CodePermissionDenied, c, c.name+" does not have the role "+string(role))
		return
	}
	g.next.ServeHTTP(w, r.WithContext(withCaller(r.Context(), c)))
}

func (g *gate) deny(w http.ResponseWriter, r *http.Request, code connect.Code, c caller, reason string) {
	if skipped, ok := g.denied.take(time.Now().Unix()); ok {
		g.logger.Warn("admin call denied", "procedure", r.URL.Path, "author", c.name,
			"code", code.String(), "remote", r.RemoteAddr, "skipped", skipped)
	}
	_ = g.errors.Write(w, r, connect.NewError(code, &DeniedError{Reason: reason}))
}

// maxDeniedLines bounds the log lines on denied calls, a second.
const maxDeniedLines = 10

// deniedLines counts the log lines on denied calls in one second, so that
// callers without a token can't fill a disk.
type deniedLines struct {
	mu      sync.Mutex
	second  int64
	written int
	skipped int
}

// take reports whether a line may be written, and how many were skipped since
// the last one.
func (d *deniedLines) take(second int64) (skipped int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if second != d.second {
		d.second, d.written = second, 0
	}
	if d.written == maxDeniedLines {
		d.skipped++
		return 0, false
	}
	d.written++
	skipped, d.skipped = d.skipped, 0
	return skipped, true
}

type callerKey struct{}

func withCaller(ctx context.Context, c caller) context.Context {
	return context.WithValue(ctx, callerKey{}, &call{caller: c})
}

func callerOf(ctx context.Context) caller {
	if c := callOf(ctx); c != nil {
		return c.caller
	}
	return caller{}
}

func callOf(ctx context.Context) *call {
	c, _ := ctx.Value(callerKey{}).(*call)
	return c
}
