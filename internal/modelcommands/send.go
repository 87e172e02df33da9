package modelcommands

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// commandPath is the path at which a backend server accepts commands.
	commandPath = "/orders"
	// commandTimeout bounds one command; loading a version is slow.
	commandTimeout = 5 * time.Minute
)

// ErrFenced means that a server refused a command because it has seen a higher fencing
// number.
var ErrFenced = errors.New("command refused: outdated fencing number")

// commandBody is the body of POST /orders.
type commandBody struct {
	Fencing uint64 `json:"fencing"`
	Action  Action `json:"action"`
	// Version is "model@version".
	Version string `json:"version"`
}

// send sends one command under a fencing number. It returns ErrFenced if the server
// answers with status 409, and another error if the command was not accepted.
func send(ctx context.Context, client *http.Client, address string, fencing uint64, cmd Command) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	body, err := json.Marshal(commandBody{Fencing: fencing, Action: cmd.Action, Version: cmd.Ref.String()})
	if err != nil {
		return errors.Wrap(err, "encode command")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+commandPath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create command request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send command")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return ErrFenced
	default:
		return errors.Errorf("server answered the command with status %d", resp.StatusCode)
	}
}
