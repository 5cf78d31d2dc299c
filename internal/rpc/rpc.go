// Package rpc builds the HTTP clients and servers for calls between the
// processes of one system, with their timeouts and size limits.
package rpc

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"github.com/trefoilkeel/trefoilkeel/internal/answer"
	"github.com/trefoilkeel/trefoilkeel/internal/inbound"
)

// Limits of connections and messages.
const (
	dialTimeout          = 3 * time.Second
	pingInterval         = 5 * time.Second
	pingTimeout          = 5 * time.Second
	idleTimeout          = 90 * time.Second
	readHeaderTimeout    = 5 * time.Second
	shutdownTimeout      = 5 * time.Minute
	maxHeaderBytes       = 32 << 10
	maxConcurrentStreams = 1000
	maxIdleConnsPerHost  = 4
	// MaxMessageBytes limits the size of one RPC message.
	MaxMessageBytes = 16 << 20
)

// ServeError reports that serving on a listener failed.
type ServeError struct {
	Address string
	Cause   error
}

// Error returns the listener's address and the failure.
func (e *ServeError) Error() string { return "serve " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the failure.
func (e *ServeError) Unwrap() error { return e.Cause }

// Client returns an HTTP/2 client that uses TLS, or unencrypted HTTP/2 with
// prior knowledge if tlsConfig is nil. A connection whose peer does not answer
// pings is closed, and later calls use no connection that was open when a call timed out.
func Client(tlsConfig *tls.Config) *http.Client {
	return DialingClient(tlsConfig, (&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// DialContext opens a connection.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// DialingClient is Client with connections that dial opens.
func DialingClient(tlsConfig *tls.Config, dial DialContext) *http.Client {
	protocols := new(http.Protocols)
	if tlsConfig == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	return checkedClient(HostTransports(func() *http.Transport {
		return &http.Transport{
			DialContext:            dial,
			TLSClientConfig:        tlsConfig.Clone(),
			TLSHandshakeTimeout:    dialTimeout,
			Protocols:              protocols,
			IdleConnTimeout:        idleTimeout,
			MaxIdleConnsPerHost:    maxIdleConnsPerHost,
			MaxResponseHeaderBytes: maxHeaderBytes,
			HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		}
	}))
}

// checkedClient returns a client that accepts no answer that ends with its connection: no process of the system
// sends one.
func checkedClient(transport http.RoundTripper) *http.Client {
	return &http.Client{Transport: &answer.Transport{Next: transport, RequiresEnd: true}}
}

// HTTP1Client returns an unencrypted HTTP/1.1 client for calls between hosts of
// a private network, where connections can stop delivering data without being
// closed. Once a call to a host has timed out, later ones use new connections.
func HTTP1Client(connectTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	newTransport := func() *http.Transport {
		return &http.Transport{
			DialContext:            answer.ScanHeads(dialer.DialContext),
			IdleConnTimeout:        idleTimeout,
			MaxIdleConnsPerHost:    maxIdleConnsPerHost,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		}
	}
	transports := newHostTransports(newTransport)
	transports.unshared = newTransport()
	transports.unshared.DisableKeepAlives = true
	return checkedClient(transports)
}

// Serve serves HTTP/1.1 and HTTP/2 on the listener until ctx ends, over TLS if
// tlsConfig is set. It then gives open requests up to shutdownTimeout to finish.
// An error is a *ServeError.
func Serve(ctx context.Context, l net.Listener, h http.Handler, tlsConfig *tls.Config, logger *slog.Logger) error {
	return RunServer(ctx, newServer(h, tlsConfig, logger), l, func() time.Duration { return shutdownTimeout }, logger)
}

// ServerLimits limits what the clients of a server can hold.
type ServerLimits struct {
	MaxConnections  int
	HeadMemoryBytes int64 // of the heads of open requests together
	BodyMemoryBytes int64 // of their bodies together
}

// ServeLimited serves HTTP/1.1 on the listener, which clients may reach that are not part of the system, until ctx
// ends. It then gives open requests up to shutdownTimeout to finish. An error is a *ServeError.
func ServeLimited(ctx context.Context, l net.Listener, h http.Handler, limits ServerLimits, logger *slog.Logger) error {
	limited := inbound.NewListener(l, inbound.Options{MaxConnections: limits.MaxConnections, MaxHeadBytes: func() int { return maxHeaderBytes },
		Memory: inbound.NewHeadBudget(limits.HeadMemoryBytes), BodyMemory: semaphore.NewWeighted(limits.BodyMemoryBytes), HeadTimeout: readHeaderTimeout,
		OnRefused: func(client net.Addr, reason error) {
			logger.Info("client's connection refused", "address", l.Addr().String(), "client", client.String(), "reason", reason.Error())
		}})
	server := newServer(limited.Handler(h), nil, logger)
	server.Protocols.SetUnencryptedHTTP2(false) // the limits need heads that can be read on the connection
	server.ConnState, server.ConnContext = limited.ConnState, limited.ConnContext
	return RunServer(ctx, server, limited, func() time.Duration { return shutdownTimeout }, logger)
}

// RunServer runs the server on the listener until ctx ends, over TLS if the server
// has a TLS configuration. It then calls beginShutdown, which returns how long open
// requests may take to finish, and closes the connections of those that take longer.
// An error is a *ServeError.
func RunServer(ctx context.Context, server *http.Server, l net.Listener, beginShutdown func() time.Duration, logger *slog.Logger) error {
	useTLS := server.TLSConfig != nil
	serveErr := make(chan error, 1)
	go func() { serveErr <- serveListener(server, l, useTLS) }()
	select {
	case err := <-serveErr:
		return errors.WithStack(&ServeError{Address: l.Addr().String(), Cause: err})
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), beginShutdown())
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		logger.Warn("shutdown timeout expired; closing connections with open requests", "address", l.Addr().String(), "error", err)
		_ = server.Close()
	}
	<-serveErr
	return nil
}

func newServer(h http.Handler, tlsConfig *tls.Config, logger *slog.Logger) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	if tlsConfig == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	return &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig.Clone(),
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelWarn),
	}
}

func serveListener(server *http.Server, l net.Listener, useTLS bool) error {
	if useTLS {
		return server.ServeTLS(l, "", "")
	}
	return server.Serve(l)
}
