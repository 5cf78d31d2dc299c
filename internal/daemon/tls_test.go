package daemon_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/daemon"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/settings"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

const operatorToken = "desk-token"

// testCA is a certificate authority that writes its certificates to a folder.
type testCA struct {
	folder string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
}

func newTestCA() *testCA {
	GinkgoHelper()
	a := &testCA{folder: GinkgoT().TempDir()}
	a.cert, a.key = a.sign("ca", &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
	return a
}

// sign issues a certificate and writes NAME.pem and NAME.key. The first one is
// the self-signed certificate of the authority.
func (a *testCA) sign(name string, template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template.Subject = pkix.Name{CommonName: name}
	template.SerialNumber = big.NewInt(time.Now().UnixNano())
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	Expect(err).NotTo(HaveOccurred())
	private, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "PRIVATE KEY", private)
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return cert, key
}

func (a *testCA) write(file, pemType string, der []byte) {
	GinkgoHelper()
	Expect(os.WriteFile(filepath.Join(a.folder, file), pem.EncodeToMemory(&pem.Block{Type: pemType, Bytes: der}), 0o600)).To(Succeed())
}

// issue issues a certificate for a process on loopback and returns its settings.
func (a *testCA) issue(name string) settings.TLS {
	GinkgoHelper()
	a.sign(name, &x509.Certificate{
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	file := func(name string) string { return filepath.Join(a.folder, name) }
	return settings.TLS{Certificate: file(name + ".pem"), Key: file(name + ".key"), CA: file("ca.pem")}
}

func (a *testCA) config(name string) *tls.Config {
	GinkgoHelper()
	config, err := daemon.LoadTLS(a.issue(name))
	Expect(err).NotTo(HaveOccurred())
	return config
}

// start runs one process until the spec ends. Processes stop in reverse order
// of their start.
func (a *testCA) start(name string, configure func(*settings.Settings)) *daemon.Daemon {
	GinkgoHelper()
	s := &settings.Settings{Process: settings.Process{Name: name, Host: "local", FailureDomain: "local", LogLevel: "error", StopTimeout: settings.Duration(10 * time.Second)}}
	configure(s)
	d, err := daemon.New(daemon.Options{Settings: s, Logger: slog.New(slog.DiscardHandler), TLS: a.config(name)})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Expect(<-done).To(Succeed())
	})
	return d
}

// tlsSystem is a system over mutual TLS: one control host, one agent and one
// router.
type tlsSystem struct {
	ca      *testCA
	control *daemon.Daemon
	router  *daemon.Daemon
	admin   trefoilkeelv1connect.AdminServiceClient
}

func newTLSSystem() *tlsSystem {
	GinkgoHelper()
	standins, endpoints, err := daemon.StartStandins()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(standins.Stop)
	s := &tlsSystem{ca: newTestCA()}
	hash := sha256.Sum256([]byte(operatorToken))
	s.control = s.ca.start("control-1", func(c *settings.Settings) {
		c.Process.DataFolder = GinkgoT().TempDir()
		c.Control = &settings.Control{ID: 1, Listen: "127.0.0.1:0", URL: "https://127.0.0.1:0", ClusterID: "secured", Bootstrap: true,
			InitialMembers: []settings.Member{{ID: 1, URL: "https://127.0.0.1:0"}},
			Tokens:         []settings.Token{{Name: "desk", SHA256Hex: hex.EncodeToString(hash[:]), Roles: []string{"submit", "read"}}}}
	})
	directory := settings.Directory{ControlURLs: []string{s.control.ControlURL()}}
	s.router = s.ca.start("router-1", func(c *settings.Settings) {
		c.Directory = directory
		c.Router = &settings.Router{Listen: "127.0.0.1:0", MaxBodyBytes: 1 << 20, MaxConnections: 100}
	})
	s.ca.start("agent-1", func(c *settings.Settings) {
		c.Directory = directory
		c.Agents = []settings.Agent{{Endpoint: endpoints[0].Name, Group: endpoints[0].Group, Kind: endpoints[0].Kind, Listen: "127.0.0.1:0", URL: "https://127.0.0.1:0",
			EndpointURL: endpoints[0].URL, Models: endpoints[0].Models, InitialSlots: 4, MaxSlots: 4, MaxBodyBytes: 1 << 20}}
	})
	s.admin = trefoilkeelv1connect.NewAdminServiceClient(rpc.Client(s.ca.config("desk")), s.control.ControlURL())
	return s
}

// submit submits the first ticket of examples/rally with the token.
func (s *tlsSystem) submit(ctx context.Context, token string) (*connect.Response[trefoilkeelv1.SubmitTicketResponse], error) {
	GinkgoHelper()
	text, err := os.ReadFile("../../examples/rally/ticket-001.toml")
	Expect(err).NotTo(HaveOccurred())
	t, err := ticket.DecodeTOML(text)
	Expect(err).NotTo(HaveOccurred())
	t.Author = "desk"
	encoded, err := ticket.Encode(t)
	Expect(err).NotTo(HaveOccurred())
	request := connect.NewRequest(&trefoilkeelv1.SubmitTicketRequest{Ticket: encoded})
	request.Header().Set("Authorization", "Bearer "+token)
	return s.admin.SubmitTicket(ctx, request)
}

// agentURL returns the URL that the agent has announced, or "" before that.
func (s *tlsSystem) agentURL(ctx context.Context) string {
	request := connect.NewRequest(&trefoilkeelv1.StatusRequest{})
	request.Header().Set("Authorization", "Bearer "+operatorToken)
	response, err := s.admin.Status(ctx, request)
	if err != nil || len(response.Msg.GetEndpoints()) == 0 {
		return ""
	}
	return response.Msg.GetEndpoints()[0].GetAgentUrl()
}

// handshake connects and returns the TLS error of either side.
func handshake(base string, config *tls.Config) error {
	conn, err := tls.Dial("tcp", strings.TrimPrefix(base, "https://"), config)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	Expect(conn.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	_, err = conn.Read(make([]byte, 1)) // returns the server's alert, which precedes any data
	return err
}

// askWithoutCertificate sends a chat request as a caller that has no client
// certificate and returns the HTTP status.
func (s *tlsSystem) askWithoutCertificate() int {
	pool := x509.NewCertPool()
	pool.AddCert(s.ca.cert)
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, DisableKeepAlives: true}
	body := []byte(`{"model":"rally-text","max_tokens":4,"messages":[{"role":"user","content":"open?"}]}`)
	request, err := http.NewRequest(http.MethodPost, s.router.RouterURL()+"/v1/chat/completions", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+riderKey)
	response, err := transport.RoundTrip(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode
}

var _ = Describe("a system over mutual TLS", func() {
	It("answers callers that have a key, and refuses processes without a certificate of its CA", func(ctx SpecContext) {
		s := newTLSSystem()
		Eventually(func() string { return s.agentURL(ctx) }, "20s").Should(HavePrefix("https://"))
		_, err := s.submit(ctx, "other")
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnauthenticated))
		response, err := s.submit(ctx, operatorToken)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Msg.GetVerdict()).To(Equal(trefoilkeelv1.Verdict_VERDICT_ACCEPTED), response.Msg.String())
		Eventually(s.askWithoutCertificate, "20s").Should(Equal(http.StatusOK))

		pool := x509.NewCertPool()
		pool.AddCert(s.ca.cert)
		untrusted := newTestCA().config("stranger")
		untrusted.RootCAs = pool
		// The untrusted client presents its certificate even though the server
		// requests one of another CA.
		for name, base := range map[string]string{"control": s.control.ControlURL(), "agent": s.agentURL(ctx)} {
			Expect(handshake(base, &tls.Config{RootCAs: pool})).To(MatchError(ContainSubstring("certificate required")), name)
			Expect(handshake(base, untrusted)).To(MatchError(ContainSubstring("remote error: tls")), name)
			Expect(handshake(base, newTestCA().config("other"))).To(MatchError(ContainSubstring("unknown authority")), name)
		}
	}, NodeTimeout(time.Minute))
})

var _ = Describe("the current certificate", func() {
	It("is reloaded from changed files after the reload interval, and kept while they are invalid", func() {
		a := newTestCA()
		files := a.issue("process")
		now := time.Unix(1_800_000_000, 0)
		get := daemon.CertificateGetter(files, func() time.Time { return now })
		read := func() []byte {
			GinkgoHelper()
			c, err := get()
			Expect(err).NotTo(HaveOccurred())
			return c.Certificate[0]
		}
		first := read()
		a.issue("process")
		now = now.Add(daemon.CertificateReloadInterval - 1)
		Expect(read()).To(Equal(first))
		now = now.Add(1)
		second := read()
		Expect(second).NotTo(Equal(first))

		for _, invalid := range []string{"", "no certificate", "-----BEGIN CERTIFICATE-----\nAA==\n-----END CERTIFICATE-----\n"} {
			Expect(os.WriteFile(files.Certificate, []byte(invalid), 0o600)).To(Succeed())
			now = now.Add(daemon.CertificateReloadInterval)
			Expect(read()).To(Equal(second))
		}
		key, err := os.ReadFile(files.Key)
		Expect(err).NotTo(HaveOccurred())
		a.issue("process") // a new certificate with the old key
		Expect(os.WriteFile(files.Key, key, 0o600)).To(Succeed())
		now = now.Add(daemon.CertificateReloadInterval)
		Expect(read()).To(Equal(second))

		a.issue("process")
		now = now.Add(daemon.CertificateReloadInterval)
		Expect(read()).NotTo(Equal(second))
	})

	It("must be readable at startup", func() {
		files := newTestCA().issue("process")
		Expect(os.WriteFile(files.Key, nil, 0o600)).To(Succeed())
		_, err := daemon.LoadTLS(files)
		var tlsErr *daemon.TLSError
		Expect(errors.As(err, &tlsErr)).To(BeTrue())
		Expect(tlsErr.File).To(Equal(files.Certificate))
	})
})
