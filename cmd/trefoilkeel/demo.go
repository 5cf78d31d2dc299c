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

// What the demo sends.
const (
	demoTimeout = 60 * time.Second
	demoKey     = "demo-secretaries-key"
	demoEntry   = "entry-rider-7"
	demoTokens  = 24
)

// demoCommand runs a whole system on loopback and sends it some requests.
type demoCommand struct {
	Ticket string `help:"Ticket to submit." default:"examples/rally/ticket-001.toml" type:"existingfile"`
}

// DemoError says which step of the demo failed.
type DemoError struct {
	Step   string
	Detail string
}

// Error names the step.
func (e *DemoError) Error() string { return "demo: " + e.Step + ": " + e.Detail }

// Run prints what it does and fails unless every step had its result.
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
	for _, step := range []func(context.Context, string) error{d.submit, d.stream, d.enterTwice, d.showLogs} {
		if err := step(ctx, c.Ticket); err != nil {
			return err
		}
	}
	fmt.Println("demo: every step had its result")
	return nil
}

// demo is the system with what watches it.
type demo struct {
	system   *daemon.Embedded
	standins *daemon.StandinServers
	logs     *lineBuffer
}

// submit sends the ticket and waits until it is in force.
func (d *demo) submit(ctx context.Context, file string) error {
	started := time.Now()
	revision, err := d.system.Submit(ctx, file)
	if err != nil {
		return err
	}
	fmt.Printf("%s accepted as revision %d, in force at every process after %d ms\n\n", file, revision, time.Since(started).Milliseconds())
	return nil
}

// stream asks a question and prints the answer as it comes.
func (d *demo) stream(ctx context.Context, _ string) error {
	body := `{"model":"rally-text","stream":true,"max_tokens":` + fmt.Sprint(demoTokens) + `,"messages":[{"role":"user","content":"Which stages are closed today?"}]}`
	fmt.Println("streamed question:")
	answer, execution, err := d.call(ctx, "/v1/chat/completions", body, "questions", "")
	if err != nil {
		return err
	}
	fmt.Println(indent(answer))
	if !strings.HasSuffix(answer, "data: [DONE]\n\n") {
		return &DemoError{Step: "stream", Detail: "the answer has no end mark"}
	}
	fmt.Printf("  execution: %s\n\n", execution)
	return nil
}

// enterTwice sends one entry twice under one key.
func (d *demo) enterTwice(ctx context.Context, _ string) error {
	var first string
	for i := range 2 {
		answer, execution, err := d.call(ctx, "/services/entries/entries", `{"rider":7,"stage":"Rancagua"}`, "", demoEntry)
		if err != nil {
			return err
		}
		fmt.Printf("entry, call %d, execution %s: %s\n", i+1, execution, answer)
		if i == 0 {
			first = answer
		}
		if answer != first {
			return &DemoError{Step: "entry", Detail: "the repeat got another answer"}
		}
	}
	runs := d.standins.Services["entries"].Records().Runs[demoEntry]
	fmt.Printf("the service ran it %d time(s)\n\n", runs)
	if runs != 1 {
		return &DemoError{Step: "entry", Detail: fmt.Sprintf("ran %d times", runs)}
	}
	return nil
}

// showLogs prints the router's lines about both requests.
func (d *demo) showLogs(context.Context, string) error {
	fmt.Println("routing log:")
	lines := 0
	for _, line := range d.logs.all() {
		if strings.Contains(line, `"msg":"route"`) || strings.Contains(line, `"msg":"claim"`) || strings.Contains(line, `"msg":"answered"`) {
			fmt.Println("  " + line)
			lines++
		}
	}
	if lines == 0 {
		return &DemoError{Step: "log", Detail: "no routing line was written"}
	}
	return nil
}

// call sends one request with the demo key and returns the whole answer.
func (d *demo) call(ctx context.Context, path, body, class, key string) (answer, execution string, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.system.Routers[0].RouterURL()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return "", "", err
	}
	request.Header.Set("Authorization", "Bearer "+demoKey)
	request.Header.Set("Content-Type", "application/json")
	if class != "" {
		request.Header.Set("Trefoilkeel-Class", class)
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
		request.Header.Set(standin.HeaderRunKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = &DemoError{Step: path, Detail: response.Status + " " + string(data)}
	}
	return string(data), response.Header.Get("Trefoilkeel-Execution"), err
}

// indent sets each line off.
func indent(text string) string {
	return "  " + strings.ReplaceAll(strings.TrimSpace(text), "\n\n", "\n  ")
}
