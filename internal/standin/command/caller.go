package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/standin/caller"
	"github.com/basilrail/basilrail/internal/standin/engine"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	callTimeout  = time.Minute
	pollInterval = 50 * time.Millisecond
)

// CallerCmd sends requests as a caller does.
type CallerCmd struct {
	Chat ChatCmd `cmd:"" help:"Send a chat completion."`
	Call CallCmd `cmd:"" help:"Call a plain service."`
	Wait WaitCmd `cmd:"" help:"Wait until URLs answer 200."`
}

// ChatCmd sends a chat completion request and prints the response on one line.
type ChatCmd struct {
	Entry   string `required:"" help:"Callers' address of an entry instance, a URL."`
	Key     string `required:"" help:"Caller's key."`
	Model   string `default:"auto" help:"Model or model@version asked for."`
	Task    string `help:"Kind of work, which selects the cascade."`
	Session string `type:"path" help:"File that keeps the session token."`
	Stream  bool   `help:"Ask for a streamed answer."`
	Prompt  string `arg:"" help:"The prompt."`
}

// Run sends the request.
func (c *ChatCmd) Run(app *kong.Kong) error {
	body, err := json.Marshal(engine.ChatRequest{
		Model:    c.Model,
		Messages: []engine.Message{{Role: "user", Content: c.Prompt}},
		Stream:   c.Stream,
	})
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return send(app, caller.Call{
		Method:      http.MethodPost,
		URL:         c.Entry + "/v1/chat/completions",
		Key:         c.Key,
		Task:        c.Task,
		SessionFile: c.Session,
		Body:        body,
	})
}

// CallCmd calls a plain service and prints the response on one line.
type CallCmd struct {
	Entry          string `required:"" help:"Callers' address of an entry instance, a URL."`
	Key            string `required:"" help:"Caller's key."`
	IdempotencyKey string `help:"Key of a call that must not be repeated."`
	Method         string `default:"POST" help:"HTTP method."`
	Service        string `arg:"" help:"Name of the service."`
	Path           string `arg:"" help:"Path below the service, beginning with a slash."`
	Body           string `arg:"" optional:"" help:"Body of the call."`
}

// Run sends the call.
func (c *CallCmd) Run(app *kong.Kong) error {
	return send(app, caller.Call{
		Method:         c.Method,
		URL:            c.Entry + "/v1/services/" + c.Service + c.Path,
		Key:            c.Key,
		IdempotencyKey: c.IdempotencyKey,
		Body:           []byte(c.Body),
	})
}

// send sends a call and prints the response on one line. It returns an error if
// the status is an error status.
func send(app *kong.Kong, call caller.Call) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answer, err := caller.Do(ctx, http.DefaultClient, call)
	if err != nil {
		return err
	}
	fmt.Fprintf(app.Stdout, "status=%d request=%s version=%s tokens=%d cost=%s replayed=%t answer=%s\n",
		answer.Status, answer.RequestID, orDash(answer.Version), answer.Usage.CompletionTokens,
		orDash(answer.Cost), answer.Replayed, answer.Text)
	if answer.Refused() {
		return errors.Errorf("refused with status %d", answer.Status)
	}
	return nil
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// WaitCmd waits until URLs respond with status 200.
type WaitCmd struct {
	Timeout time.Duration `default:"20s" help:"Longest time to wait, a duration."`
	URLs    []string      `arg:"" name:"url" help:"URLs that must answer 200."`
}

// Run waits until each URL has responded with status 200 once.
func (c *WaitCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	for _, url := range c.URLs {
		for !answersOK(ctx, url) {
			if wait.For(ctx, pollInterval) != nil {
				return errors.Errorf("%s did not answer 200 within %s", url, c.Timeout)
			}
		}
	}
	return nil
}

// answersOK reports whether a GET of the URL returns status 200.
func answersOK(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	// Only the status matters; the body is not read.
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
