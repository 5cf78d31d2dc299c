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
)

// Bounds of one command.
const (
	rounds     = 2 // times that every control host is tried
	roundPause = 300 * time.Millisecond
	maxAnswer  = 64 << 20 // bytes
)

// controlFlags say where the control hosts are and who calls.
type controlFlags struct {
	Control   []string      `required:"" env:"TREFOILKEEL_CONTROL" placeholder:"URL" help:"Base URL of a control host; repeat it to name several."`
	TokenFile string        `env:"TREFOILKEEL_TOKEN_FILE" type:"existingfile" placeholder:"FILE" help:"File with the bearer token."`
	CA        string        `name:"ca" env:"TREFOILKEEL_CA" type:"existingfile" placeholder:"FILE" help:"PEM file with the authorities that sign the control hosts' certificates."`
	Cert      string        `type:"existingfile" placeholder:"FILE" help:"PEM file with a client certificate."`
	CertKey   string        `type:"existingfile" placeholder:"FILE" help:"PEM file with the client certificate's key."`
	Timeout   time.Duration `default:"10s" help:"Longest wait for one control host."`
	JSON      bool          `name:"json" help:"Print JSON for programs."`
}

// callKind says what may be done when an answer was lost.
type callKind int

const (
	readCall       callKind = iota // changes nothing
	repeatableCall                 // a repeat has the effect of one call
	singleCall                     // not repeated after a lost answer
)

// adminClient is the client of one control host.
type adminClient = trefoilkeelv1connect.AdminServiceClient

// attempt is one call at one control host.
type attempt func(ctx context.Context, client adminClient) error

// try makes a call at the control hosts in order until one answers. The error
// is a *refusedError, an *unreachableError or an *unknownError.
func (f *controlFlags) try(kind callKind, call attempt) error {
	client, err := f.httpClient()
	if err != nil {
		return err
	}
	var reasons []string
	lost := false
	for round := range rounds {
		if round > 0 {
			time.Sleep(roundPause)
		}
		for _, url := range f.Control {
			err := f.once(client, url, call)
			if err == nil {
				return nil
			}
			reasons = append(reasons, url+": "+err.Error())
			result := classify(err)
			if result == outcomeRefused && !lost {
				return &refusedError{Reason: err.Error()}
			}
			lost = lost || result == outcomeLost && kind != readCall
			if lost && kind == singleCall {
				return &unknownError{Reasons: reasons}
			}
		}
	}
	if lost {
		return &unknownError{Reasons: reasons, Repeatable: kind == repeatableCall}
	}
	return &unreachableError{Reasons: reasons}
}

func (f *controlFlags) once(client *http.Client, url string, call attempt) error {
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	return call(ctx, f.admin(client, url))
}

func (f *controlFlags) admin(client *http.Client, url string) adminClient {
	return trefoilkeelv1connect.NewAdminServiceClient(client, strings.TrimRight(url, "/"), connect.WithReadMaxBytes(maxAnswer))
}

// httpClient returns a client with the token and the certificates of the flags.
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
	token, err := f.token()
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}
	return &http.Client{Transport: &tokenTransport{token: token, next: transport}}, nil
}

func (f *controlFlags) token() (string, error) {
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

// RoundTrip sends the request with the token.
func (t *tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.token != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+t.token)
	}
	return t.next.RoundTrip(r)
}

// outcome is what a failed call says of the change that it asked for.
type outcome int

const (
	outcomeUnsent  outcome = iota // not sent or not recorded: nothing was changed
	outcomeRefused                // understood and refused: nothing was changed
	outcomeLost                   // may have been carried out
)

// classify tells a call that did nothing from one whose answer was lost.
func classify(err error) outcome {
	var dial *net.OpError
	var certificate *tls.CertificateVerificationError
	if errors.As(err, &dial) && dial.Op == "dial" || errors.As(err, &certificate) {
		return outcomeUnsent
	}
	switch connect.CodeOf(err) {
	case connect.CodeAborted:
		return outcomeUnsent
	case connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeNotFound,
		connect.CodeInvalidArgument, connect.CodeResourceExhausted, connect.CodeUnimplemented:
		return outcomeRefused
	}
	return outcomeLost
}
