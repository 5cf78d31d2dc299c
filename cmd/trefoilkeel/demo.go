package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/daemon"
	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

// Contents of the demo's requests.
const (
	demoTimeout        = 60 * time.Second
	demoAPIKey         = "demo-secretaries-key"
	demoIdempotencyKey = "entry-rider-7"
	demoMaxTokens      = 24
)

// demoCommand runs a whole system on loopback and sends it a few requests.
type demoCommand struct {
	Ticket string `help:"Ticket to submit." default:"examples/rally/ticket-001.toml" type:"existingfile"`
}

// demoError reports the step of the demo that failed.
type demoError struct {
	Step   string
	Detail string
}

// Error implements error.
func (e *demoError) Error() string { return "demo: " + e.Step + ": " + e.Detail }

// Run runs the steps, prints their results and fails at the first unexpected one.
func (c *demoCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	logs := &lineBuffer{}
	logger := slog.New(slog.NewJSONHandler(logs, nil))
	standins, endpoints, err := daemon.StartStandins()
	if err != nil {
		return err
	}
	defer standins.Stop()
	system, err := daemon.StartEmbedded(daemon.EmbeddedOptions{Endpoints: endpoints, Logger: logger})
	if err != nil {
		return err
	}
	defer func() { _ = system.Stop(ctx) }()
	d := &demo{system: system, standins: standins, logs: logs}
	for _, step := range []func(context.Context, string) error{d.submit, d.stream, d.sendEntryTwice, d.printRoutingLog} {
		if err := step(ctx, c.Ticket); err != nil {
			return err
		}
	}
	fmt.Println("demo: every step had its result")
	return nil
}

// demo holds the running system and what the steps inspect.
type demo struct {
	system   *daemon.Embedded
	standins *daemon.StandinServers
	logs     *lineBuffer
}

// submit submits the ticket and waits until every process applies it.
func (d *demo) submit(ctx context.Context, file string) error {
	started := time.Now()
	revision, err := d.system.Submit(ctx, file)
	if err != nil {
		return err
	}
	fmt.Printf("%s accepted as revision %d, in force at every process after %d ms\n\n", file, revision, time.Since(started).Milliseconds())
	return nil
}

// stream sends a streaming chat request and prints its answer.
func (d *demo) stream(ctx context.Context, _ string) error {
	body := `{"model":"rally-text","stream":true,"max_tokens":` + fmt.Sprint(demoMaxTokens) + `,"messages":[{"role":"user","content":"Which stages are closed today?"}]}`
	fmt.Println("streamed question:")
	answer, execution, err := d.sendRequest(ctx, "/v1/chat/completions", body, "questions", "")
	if err != nil {
		return err
	}
	fmt.Println(indent(answer))
	if !strings.HasSuffix(answer, "data: [DONE]\n\n") {
		return &demoError{Step: "stream", Detail: "the answer has no end mark"}
	}
	fmt.Printf("  execution: %s\n\n", execution)
	return nil
}

// sendEntryTwice sends one service request twice with the same idempotency key.
// The service must run it once, and the repeat must get the first answer.
func (d *demo) sendEntryTwice(ctx context.Context, _ string) error {
	var first string
	for i := range 2 {
		answer, execution, err := d.sendRequest(ctx, "/services/entries/entries", `{"rider":7,"stage":"Rancagua"}`, "", demoIdempotencyKey)
		if err != nil {
			return err
		}
		fmt.Printf("entry, call %d, execution %s: %s\n", i+1, execution, answer)
		if i == 0 {
			first = answer
		}
		if answer != first {
			return &demoError{Step: "entry", Detail: "the repeat got another answer"}
		}
	}
	runs := d.standins.Services["entries"].Records().Runs[demoIdempotencyKey]
	fmt.Printf("the service ran it %d time(s)\n\n", runs)
	if runs != 1 {
		return &demoError{Step: "entry", Detail: fmt.Sprintf("ran %d times", runs)}
	}
	return nil
}

// printRoutingLog prints the router's log lines about the requests.
func (d *demo) printRoutingLog(context.Context, string) error {
	fmt.Println("routing log:")
	lines := 0
	for _, line := range d.logs.copyLines() {
		if strings.Contains(line, `"msg":"route"`) || strings.Contains(line, `"msg":"claim"`) || strings.Contains(line, `"msg":"answered"`) {
			fmt.Println("  " + line)
			lines++
		}
	}
	if lines == 0 {
		return &demoError{Step: "log", Detail: "no routing line was written"}
	}
	return nil
}

// sendRequest sends one request with the demo API key and returns the whole
// response body and the execution header.
func (d *demo) sendRequest(ctx context.Context, path, body, class, idempotencyKey string) (answer, execution string, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.system.Routers[0].RouterURL()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return "", "", err
	}
	request.Header.Set("Authorization", "Bearer "+demoAPIKey)
	request.Header.Set("Content-Type", "application/json")
	if class != "" {
		request.Header.Set("Trefoilkeel-Class", class)
	}
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
		request.Header.Set(standin.HeaderRunKey, idempotencyKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = &demoError{Step: path, Detail: response.Status + " " + string(data)}
	}
	return string(data), response.Header.Get("Trefoilkeel-Execution"), err
}

// indent indents each event of a stream.
func indent(text string) string {
	return "  " + strings.ReplaceAll(strings.TrimSpace(text), "\n\n", "\n  ")
}
