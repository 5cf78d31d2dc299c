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

// Request headers of the public API.
const (
	HeaderClass          = "Trefoilkeel-Class"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const maxIdempotencyKeyBytes = 255

// callerRequest is one request of a caller with its class and target.
type callerRequest struct {
	id             string
	receivedAt     time.Time
	config         *ticket.Configuration
	workspace      ticket.Workspace
	class          ticket.Class
	endpointKind   trefoilkeelv1.EndpointKind
	modelOrService string
	method         string
	endpointURI    string // escaped path and query, as sent to the endpoint
	endpointHeader http.Header
	body           []byte
	parsedBody     *engine.Body // nil for a service
	streaming      bool
	protected      bool // must run at most once, see classify
	idempotencyKey string
	requestDigest  []byte
	outputTokens   int // the engine's count, or the number of stream events
}

// deadline is when the answer must be complete.
func (req *callerRequest) deadline() time.Time {
	return req.receivedAt.Add(time.Duration(req.class.Deadline))
}

// startDeadline is when the answer must have started.
func (req *callerRequest) startDeadline() time.Time {
	return req.receivedAt.Add(time.Duration(req.class.Patience))
}

// readModelRequest reads, validates and classifies a request for a model.
func (rt *Router) readModelRequest(w http.ResponseWriter, r *http.Request) (*callerRequest, *dispatch.RequestError) {
	req, reqErr := rt.readRequest(w, r)
	if reqErr != nil {
		return nil, reqErr
	}
	req.endpointKind = trefoilkeelv1.EndpointKind_ENDPOINT_KIND_ENGINE
	req.endpointURI = r.URL.Path
	var err error
	if req.parsedBody, err = engine.ParseBody(req.body); err != nil {
		return nil, notRunError(dispatch.InvalidRequest, http.StatusBadRequest, err.Error())
	}
	model, ok := req.parsedBody.StringField("model")
	if !ok {
		return nil, notRunError(dispatch.InvalidRequest, http.StatusBadRequest, "field model is missing or no string")
	}
	if !slices.Contains(modelsForWorkspace(req.config, req.workspace.Name), model) {
		return nil, notRunError(dispatch.UnknownModel, http.StatusNotFound, "model "+strconv.Quote(model)+" is not served to this workspace")
	}
	req.modelOrService = model
	req.streaming = req.parsedBody.BoolField("stream")
	if req.body, err = req.parsedBody.Encode(); err != nil {
		return nil, notRunError(dispatch.InvalidRequest, http.StatusBadRequest, err.Error())
	}
	return rt.classify(r, req, req.workspace.DefaultClass, false)
}

// readServiceRequest reads, validates and classifies a request for a plain HTTP
// service.
func (rt *Router) readServiceRequest(w http.ResponseWriter, r *http.Request) (*callerRequest, *dispatch.RequestError) {
	req, reqErr := rt.readRequest(w, r)
	if reqErr != nil {
		return nil, reqErr
	}
	req.endpointKind = trefoilkeelv1.EndpointKind_ENDPOINT_KIND_SERVICE
	req.modelOrService = r.PathValue("service")
	service, known := req.config.Services[req.modelOrService]
	if !known || !slices.Contains(servicesForWorkspace(req.config, req.workspace.Name), req.modelOrService) {
		return nil, notRunError(dispatch.UnknownService, http.StatusNotFound, "service "+strconv.Quote(req.modelOrService)+" is not served to this workspace")
	}
	if req.endpointURI, reqErr = serviceURI(r); reqErr != nil {
		return nil, reqErr
	}
	class := req.workspace.DefaultClass
	if service.Class != "" {
		class = service.Class
	}
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead
	return rt.classify(r, req, class, service.NonIdempotent && !safe)
}

// serviceURI returns the path and query after /services/NAME. It refuses a path that
// is not in canonical form, so that the router and the service cannot interpret it
// differently.
func serviceURI(r *http.Request) (string, *dispatch.RequestError) {
	servicePath := strings.TrimPrefix(r.URL.Path, "/services/"+r.PathValue("service"))
	cleaned := path.Clean(servicePath)
	if strings.HasSuffix(servicePath, "/") && cleaned != "/" {
		cleaned += "/"
	}
	escaped := strings.ToLower(r.URL.EscapedPath())
	if cleaned != servicePath || strings.Contains(servicePath, "\\") || strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%2e") || strings.Contains(escaped, "%00") {
		return "", notRunError(dispatch.InvalidRequest, http.StatusBadRequest, "the path is not in its plain form")
	}
	uri := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+r.PathValue("service"))
	if r.URL.RawQuery != "" {
		uri += "?" + r.URL.RawQuery
	}
	return uri, nil
}

// readRequest authenticates the request and reads its body.
func (rt *Router) readRequest(w http.ResponseWriter, r *http.Request) (*callerRequest, *dispatch.RequestError) {
	req := &callerRequest{id: rt.requestIDs.newID(), receivedAt: time.Now(), method: r.Method}
	var reqErr *dispatch.RequestError
	if req.config, req.workspace, reqErr = rt.authenticate(r); reqErr != nil {
		return nil, reqErr
	}
	if encoding := r.Header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return nil, notRunError(dispatch.InvalidRequest, http.StatusUnsupportedMediaType, "compressed bodies are not taken")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, rt.options.MaxBodyBytes))
	if err != nil {
		return nil, bodyReadError(err)
	}
	req.body = body
	req.requestDigest = digestRequest(r.Method, r.URL.RequestURI(), body)
	req.endpointHeader = filterHeader(r.Header)
	return req, nil
}

// bodyReadError converts an error from reading the body into an error response.
func bodyReadError(err error) *dispatch.RequestError {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRunError(dispatch.BodyTooLarge, http.StatusRequestEntityTooLarge, "body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return notRunError(dispatch.InvalidRequest, http.StatusBadRequest, "the body ended early or came too slowly")
}

// filterHeader returns the caller's headers that the endpoint receives. The API key
// is removed, and so is Idempotency-Key, which would let net/http send a request
// twice.
func filterHeader(callerHeader http.Header) http.Header {
	header := http.Header{}
	dispatch.CopyEndToEndHeaders(header, callerHeader)
	for _, name := range []string{"Authorization", "Cookie", HeaderIdempotencyKey, HeaderClass, "Accept-Encoding", "X-Request-Id"} {
		header.Del(name)
	}
	return header
}

// digestRequest hashes the method, the URI and the body, each with its length, so
// that the ledger can detect an Idempotency-Key reused for another request.
func digestRequest(method, requestURI string, body []byte) []byte {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(requestURI), body} {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":"))
		hash.Write(part)
	}
	return hash.Sum(nil)
}

// classify sets the class and whether the request is protected: it must run at most
// once if its class is non-idempotent or nonIdempotent is set. A protected request must
// carry an Idempotency-Key.
func (rt *Router) classify(r *http.Request, req *callerRequest, defaultClass string, nonIdempotent bool) (*callerRequest, *dispatch.RequestError) {
	name := r.Header.Get(HeaderClass)
	if name == "" {
		name = defaultClass
	}
	class, known := req.config.Classes[name]
	if !known {
		return nil, notRunError(dispatch.UnknownClass, http.StatusBadRequest, "class "+strconv.Quote(name)+" is unknown")
	}
	if !slices.Contains(req.workspace.Classes, name) {
		return nil, notRunError(dispatch.Forbidden, http.StatusForbidden, "class "+strconv.Quote(name)+" is not given to this workspace")
	}
	req.class = class
	req.protected = class.NonIdempotent || nonIdempotent
	req.idempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	if !req.protected {
		return req, nil
	}
	if req.idempotencyKey == "" || len(req.idempotencyKey) > maxIdempotencyKeyBytes {
		return nil, notRunError(dispatch.IdempotencyKeyRequired, http.StatusBadRequest, "send an Idempotency-Key of 1 to 255 bytes: this request runs at most once")
	}
	return req, nil
}

// modelsForWorkspace lists the models that a workspace may use, sorted.
func modelsForWorkspace(config *ticket.Configuration, workspace string) []string {
	return namesForWorkspace(config, workspace, func(g ticket.EndpointGroup) []string { return g.Models })
}

// servicesForWorkspace lists the services that a workspace may use, sorted.
func servicesForWorkspace(config *ticket.Configuration, workspace string) []string {
	return namesForWorkspace(config, workspace, func(g ticket.EndpointGroup) []string { return g.Services })
}

// namesForWorkspace collects namesOf every endpoint group that serves the
// workspace, sorted and without duplicates.
func namesForWorkspace(config *ticket.Configuration, workspace string, namesOf func(ticket.EndpointGroup) []string) []string {
	var names []string
	for _, group := range config.EndpointGroups {
		if slices.Contains(group.Workspaces, "*") || slices.Contains(group.Workspaces, workspace) {
			names = append(names, namesOf(group)...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
