package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// ordersPath is where a backend server takes orders.
	ordersPath = "/orders"
	// orderTimeout bounds one order; loading a version takes long.
	orderTimeout = 5 * time.Minute
)

// ErrFenced is returned when a server has seen a higher fencing number.
var ErrFenced = errors.New("the order carries an old fencing number")

// orderBody is the body of POST /orders.
type orderBody struct {
	Fencing uint64 `json:"fencing"`
	Action  Action `json:"action"`
	// Version is "model@version".
	Version string `json:"version"`
}

// send gives one order under a fencing number.
func send(ctx context.Context, client *http.Client, address string, fencing uint64, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(orderBody{Fencing: fencing, Action: o.Action, Version: o.Ref.String()})
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+ordersPath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make order")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send order")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return ErrFenced
	default:
		return errors.Errorf("order answered with status %d", resp.StatusCode)
	}
}
