package router

import (
	"crypto/sha256"
	"io"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/engine"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// Header names of the callers' interface.
const (
	HeaderClass          = "Trefoilkeel-Class"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// maxIdempotencyKey bounds a key, in bytes.
const maxIdempotencyKey = 255

// query is one classified request.
type query struct {
	id        string
	received  time.Time
	state     *ticket.State
	workspace ticket.Workspace
	class     ticket.Class
	kind      trefoilkeelv1.EndpointKind
	target    string // model or service name
	method    string
	path      string // escaped path with its query, as the endpoint gets it
	header    http.Header
	body      []byte
	parsed    *engine.Body // nil for services
	stream    bool
	protected bool
	key       string // caller's Idempotency-Key
	digest    []byte
	tokens    int // of the answer, as far as the router can count them
}

// deadline is when the answer must be whole.
func (q *query) deadline() time.Time { return q.received.Add(time.Duration(q.class.Deadline)) }

// startBy is when the answer must have started.
func (q *query) startBy() time.Time { return q.received.Add(time.Duration(q.class.Patience)) }

// modelQuery reads and classifies a request for a model.
func (rt *Router) modelQuery(w http.ResponseWriter, r *http.Request) (*query, *dispatch.Refusal) {
	q, refused := rt.newQuery(w, r)
	if refused != nil {
		return nil, refused
	}
	q.kind = trefoilkeelv1.EndpointKind_ENDPOINT_KIND_ENGINE
	q.path = r.URL.Path
	var err error
	if q.parsed, err = engine.ParseBody(q.body); err != nil {
		return nil, refusal(dispatch.InvalidRequest, http.StatusBadRequest, err.Error())
	}
	model, ok := q.parsed.Text("model")
	if !ok {
		return nil, refusal(dispatch.InvalidRequest, http.StatusBadRequest, "field model is missing or no string")
	}
	if !slices.Contains(modelsOf(q.state, q.workspace.Name), model) {
		return nil, refusal(dispatch.UnknownModel, http.StatusNotFound, "model "+strconv.Quote(model)+" is not served to this workspace")
	}
	q.target = model
	q.stream = q.parsed.Flag("stream")
	if q.body, err = q.parsed.Encode(); err != nil {
		return nil, refusal(dispatch.InvalidRequest, http.StatusBadRequest, err.Error())
	}
	return rt.classify(r, q, q.workspace.DefaultClass, false)
}

// serviceQuery reads and classifies a request for a plain service.
func (rt *Router) serviceQuery(w http.ResponseWriter, r *http.Request) (*query, *dispatch.Refusal) {
	q, refused := rt.newQuery(w, r)
	if refused != nil {
		return nil, refused
	}
	q.kind = trefoilkeelv1.EndpointKind_ENDPOINT_KIND_SERVICE
	q.target = r.PathValue("service")
	service, known := q.state.Services[q.target]
	if !known || !slices.Contains(servicesOf(q.state, q.workspace.Name), q.target) {
		return nil, refusal(dispatch.UnknownService, http.StatusNotFound, "service "+strconv.Quote(q.target)+" is not served to this workspace")
	}
	if q.path, refused = servicePath(r); refused != nil {
		return nil, refused
	}
	class := q.workspace.DefaultClass
	if service.Class != "" {
		class = service.Class
	}
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead
	return rt.classify(r, q, class, service.NonIdempotent && !safe)
}

// servicePath is the path behind /services/NAME. A path that a cleaner would
// change is refused, so that no two readers take it for different places.
func servicePath(r *http.Request) (string, *dispatch.Refusal) {
	rest := strings.TrimPrefix(r.URL.Path, "/services/"+r.PathValue("service"))
	cleaned := path.Clean(rest)
	if strings.HasSuffix(rest, "/") && cleaned != "/" {
		cleaned += "/"
	}
	escaped := strings.ToLower(r.URL.EscapedPath())
	if cleaned != rest || strings.Contains(rest, "\\") || strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%2e") || strings.Contains(escaped, "%00") {
		return "", refusal(dispatch.InvalidRequest, http.StatusBadRequest, "the path is not in its plain form")
	}
	target := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+r.PathValue("service"))
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return target, nil
}

// newQuery authenticates and reads the body.
func (rt *Router) newQuery(w http.ResponseWriter, r *http.Request) (*query, *dispatch.Refusal) {
	q := &query{id: rt.requests.make(), received: time.Now(), method: r.Method}
	var refused *dispatch.Refusal
	if q.state, q.workspace, refused = rt.authenticate(r); refused != nil {
		return nil, refused
	}
	if encoding := r.Header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return nil, refusal(dispatch.InvalidRequest, http.StatusUnsupportedMediaType, "compressed bodies are not taken")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, rt.options.MaxBody))
	if err != nil {
		return nil, bodyRefusal(err)
	}
	q.body = body
	q.digest = digest(r.Method, r.URL.RequestURI(), body)
	q.header = endpointHeader(r.Header)
	return q, nil
}

// bodyRefusal turns a failed read of the body into a refusal.
func bodyRefusal(err error) *dispatch.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal(dispatch.BodyTooLarge, http.StatusRequestEntityTooLarge, "body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return refusal(dispatch.InvalidRequest, http.StatusBadRequest, "the body ended early or came too slowly")
}

// endpointHeader is what an endpoint sees of the caller's headers. The key
// stays here; so does Idempotency-Key, which would let net/http send a request twice.
func endpointHeader(from http.Header) http.Header {
	header := http.Header{}
	dispatch.CopyHeaders(header, from)
	for _, name := range []string{"Authorization", "Cookie", HeaderIdempotencyKey, HeaderClass, "Accept-Encoding", "X-Request-Id"} {
		header.Del(name)
	}
	return header
}

// digest identifies the content of a protected request.
func digest(method, target string, body []byte) []byte {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(target), body} {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":"))
		hash.Write(part)
	}
	return hash.Sum(nil)
}

// classify picks the class and decides whether the request is protected.
func (rt *Router) classify(r *http.Request, q *query, fallback string, nonIdempotent bool) (*query, *dispatch.Refusal) {
	name := r.Header.Get(HeaderClass)
	if name == "" {
		name = fallback
	}
	class, known := q.state.Classes[name]
	if !known {
		return nil, refusal(dispatch.UnknownClass, http.StatusBadRequest, "class "+strconv.Quote(name)+" is unknown")
	}
	if !slices.Contains(q.workspace.Classes, name) {
		return nil, refusal(dispatch.Forbidden, http.StatusForbidden, "class "+strconv.Quote(name)+" is not given to this workspace")
	}
	q.class = class
	q.protected = class.NonIdempotent || nonIdempotent
	q.key = r.Header.Get(HeaderIdempotencyKey)
	if !q.protected {
		return q, nil
	}
	if q.key == "" || len(q.key) > maxIdempotencyKey {
		return nil, refusal(dispatch.KeyRequired, http.StatusBadRequest, "send an Idempotency-Key of 1 to 255 bytes: this request runs at most once")
	}
	return q, nil
}

// modelsOf lists the models that a workspace may use, sorted.
func modelsOf(state *ticket.State, workspace string) []string {
	return servedTo(state, workspace, func(g ticket.EndpointGroup) []string { return g.Models })
}

// servicesOf lists the services that a workspace may use, sorted.
func servicesOf(state *ticket.State, workspace string) []string {
	return servedTo(state, workspace, func(g ticket.EndpointGroup) []string { return g.Services })
}

// servedTo gathers what the endpoint groups serve to a workspace.
func servedTo(state *ticket.State, workspace string, of func(ticket.EndpointGroup) []string) []string {
	var names []string
	for _, group := range state.EndpointGroups {
		if slices.Contains(group.Workspaces, "*") || slices.Contains(group.Workspaces, workspace) {
			names = append(names, of(group)...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
