package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/answer"
)

// Limits of one command.
const (
	attemptsPerHost  = 2
	retryDelay       = 300 * time.Millisecond
	maxResponseBytes = 64 << 20
)

// controlFlags are the flags for the URLs of the control hosts and the caller's
// credentials.
type controlFlags struct {
	Control   []string      `required:"" env:"TREFOILKEEL_CONTROL" placeholder:"URL" help:"Base URL of a control host; repeat it to name several."`
	TokenFile string        `env:"TREFOILKEEL_TOKEN_FILE" type:"existingfile" placeholder:"FILE" help:"File with the bearer token."`
	CA        string        `name:"ca" env:"TREFOILKEEL_CA" type:"existingfile" placeholder:"FILE" help:"PEM file with the authorities that sign the control hosts' certificates."`
	Cert      string        `type:"existingfile" placeholder:"FILE" help:"PEM file with a client certificate."`
	CertKey   string        `type:"existingfile" placeholder:"FILE" help:"PEM file with the client certificate's key."`
	Timeout   time.Duration `default:"10s" help:"Longest wait for one control host."`
	JSON      bool          `name:"json" help:"Print JSON for programs."`
}

// callKind tells whether a call may be repeated when its response was lost.
type callKind int

const (
	readOnlyCall      callKind = iota // changes nothing
	idempotentCall                    // repeating it has no further effect
	nonIdempotentCall                 // must not be repeated after a lost response
)

// adminClient calls one control host.
type adminClient = trefoilkeelv1connect.AdminServiceClient

// adminCall makes one call to a control host.
type adminCall func(ctx context.Context, client adminClient) error

// callWithFailover tries the control hosts in order, up to attemptsPerHost times,
// until one carries out or refuses the call. If none carries it out, the error is a
// *refusedError, an *unreachableError or an *outcomeUnknownError. After a lost
// response to a change, a refusal does not show that nothing was changed: the
// outcome stays unknown unless a later host carries out the call.
func (f *controlFlags) callWithFailover(kind callKind, call adminCall) error {
	client, err := f.httpClient()
	if err != nil {
		return err
	}
	var reasons []string
	mayBeApplied := false
	for attempt := range attemptsPerHost {
		if attempt > 0 {
			time.Sleep(retryDelay)
		}
		for _, url := range f.Control {
			err := f.callHost(client, url, call)
			if err == nil {
				return nil
			}
			reasons = append(reasons, url+": "+err.Error())
			outcome := classifyError(err)
			if outcome == outcomeRefused && !mayBeApplied {
				return &refusedError{Reason: err.Error()}
			}
			mayBeApplied = mayBeApplied || outcome == outcomeUnknown && kind != readOnlyCall
			if mayBeApplied && kind == nonIdempotentCall {
				return &outcomeUnknownError{Reasons: reasons}
			}
		}
	}
	if mayBeApplied {
		return &outcomeUnknownError{Reasons: reasons, SafeToRetry: kind == idempotentCall}
	}
	return &unreachableError{Reasons: reasons}
}

func (f *controlFlags) callHost(client *http.Client, url string, call adminCall) error {
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	return call(ctx, f.newAdminClient(client, url))
}

func (f *controlFlags) newAdminClient(client *http.Client, url string) adminClient {
	return trefoilkeelv1connect.NewAdminServiceClient(client, strings.TrimRight(url, "/"), connect.WithReadMaxBytes(maxResponseBytes))
}

// httpClient returns a client that uses the token and the certificates of the
// flags.
func (f *controlFlags) httpClient() (*http.Client, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if f.CA != "" {
		pem, err := os.ReadFile(f.CA)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, &fileError{File: f.CA, Problem: "no certificate in PEM form"}
		}
	}
	if f.Cert != "" || f.CertKey != "" {
		certificate, err := tls.LoadX509KeyPair(f.Cert, f.CertKey)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		config.Certificates = []tls.Certificate{certificate}
	}
	token, err := f.readToken()
	if err != nil {
		return nil, err
	}
	transport := &answer.Transport{RequiresEnd: true, Next: &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}}
	return &http.Client{Transport: &tokenTransport{token: token, next: transport}}, nil
}

func (f *controlFlags) readToken() (string, error) {
	if f.TokenFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(f.TokenFile)
	if err != nil {
		return "", errors.WithStack(err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" || strings.ContainsAny(token, " \r\n\t") {
		return "", &fileError{File: f.TokenFile, Problem: "does not hold one token on one line"}
	}
	return token, nil
}

// tokenTransport adds the bearer token to each request.
type tokenTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.token != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+t.token)
	}
	return t.next.RoundTrip(r)
}

// callOutcome tells whether a failed call may have changed anything.
type callOutcome int

const (
	outcomeNotApplied callOutcome = iota // not sent or not recorded; nothing was changed
	outcomeRefused                       // understood and refused; nothing was changed
	outcomeUnknown                       // may have been carried out
)

// classifyError tells from the error of a call whether it may have been carried
// out. A call that was not sent, or was answered with a refusal, was not.
func classifyError(err error) callOutcome {
	var netErr *net.OpError
	var certificateErr *tls.CertificateVerificationError
	if errors.As(err, &netErr) && netErr.Op == "dial" || errors.As(err, &certificateErr) {
		return outcomeNotApplied
	}
	switch connect.CodeOf(err) {
	case connect.CodeAborted:
		return outcomeNotApplied
	case connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeNotFound,
		connect.CodeInvalidArgument, connect.CodeResourceExhausted, connect.CodeUnimplemented:
		return outcomeRefused
	}
	return outcomeUnknown
}
