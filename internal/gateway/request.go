package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/tracing"
)

// request is one caller's request in progress.
type request struct {
	gateway *Gateway
	id      string
	view    *settings.AccountView
	http    *http.Request
	w       http.ResponseWriter
	body    []byte
	// key is the caller's Idempotency-Key, or empty.
	key       string
	deadline  time.Time
	lifecycle *statechart.Machine
	lines     []billing.Line
	attempts  int
	// execution is the furthest execution status of all attempts so far.
	execution apierror.ExecutionStatus
	record    *Record
}

// serve wraps a handler: it identifies the request, applies its account's limits
// and writes the handler's refusal as the answer.
func (g *Gateway) serve(handle func(ctx context.Context, r *request) *apierror.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, httpReq *http.Request) {
		g.inFlight.Add(1)
		defer g.inFlight.Done()
		r := &request{
			gateway:   g,
			id:        uuid.NewString(),
			http:      httpReq,
			w:         newTimeoutWriter(w, g.WriteTimeout),
			lifecycle: statechart.NewMachine(g.Charts.Request),
			execution: apierror.NotRun,
		}
		r.record = newRecord(r.id)
		w.Header().Set(HeaderRequestID, r.id)
		refusal := g.run(httpReq.Context(), r, handle)
		if refusal != nil {
			r.refuse(refusal)
		}
		r.finish(refusal)
	}
}

func (g *Gateway) run(ctx context.Context, r *request, handle func(context.Context, *request) *apierror.Error) *apierror.Error {
	if refusal := g.Ready.Ready(); refusal != nil {
		return refusal
	}
	if refusal := r.identify(g.Data.Snapshot()); refusal != nil {
		return refusal
	}
	release, refusal := g.limits.acquire(r.view, g.connectionLimit(r.view.Account.Limits))
	if refusal != nil {
		return refusal
	}
	defer release()
	if refusal := r.read(); refusal != nil {
		return refusal
	}
	ctx, span := startEntry(ctx, r)
	defer span.End()
	return handle(ctx, r)
}

// identify looks up the client account of the caller's bearer key.
func (r *request) identify(snap *datastore.Snapshot) *apierror.Error {
	key, ok := strings.CutPrefix(r.http.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return apierror.New(http.StatusUnauthorized, apierror.CodeUnauthenticated, "no bearer key in the Authorization header")
	}
	view, ok := snap.Settings.AccountByKey(key)
	if !ok {
		return apierror.New(http.StatusUnauthorized, apierror.CodeUnauthenticated, "the key belongs to no client account")
	}
	r.view = view
	r.record.Account = view.ID
	r.fire(statechart.RequestIdentify)
	return nil
}

// read reads the body and the headers that all requests have in common.
func (r *request) read() *apierror.Error {
	body, err := io.ReadAll(http.MaxBytesReader(r.w, r.http.Body, r.gateway.bodyLimit(r.view.Account.Limits)))
	if err != nil {
		return bodyRefusal(err)
	}
	r.body = body
	r.key = r.http.Header.Get(HeaderIdempotencyKey)
	if len(r.key) > maxKeyBytes {
		return apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, "%s is longer than %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	budget, refusal := r.budget()
	if refusal != nil {
		return refusal
	}
	r.deadline = time.Now().Add(budget)
	return nil
}

// maxKeyBytes is the maximum length of a caller's Idempotency-Key.
const maxKeyBytes = 256

func bodyRefusal(err error) *apierror.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return apierror.New(http.StatusRequestEntityTooLarge, apierror.CodeTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, "the body could not be read whole")
}

// budget returns the request's time budget: the caller's, the team's, or the default.
func (r *request) budget() (time.Duration, *apierror.Error) {
	header := r.http.Header.Get(HeaderDeadline)
	if header == "" {
		if r.view.Team.Deadline > 0 {
			return r.view.Team.Deadline, nil
		}
		return defaultDeadline, nil
	}
	millis, err := strconv.ParseInt(header, 10, 64)
	budget := time.Duration(millis) * time.Millisecond
	if err != nil || budget <= 0 || budget > maxDeadline {
		return 0, apierror.New(http.StatusBadRequest, apierror.CodeBadRequest,
			"%s must be a whole number of milliseconds up to %d", HeaderDeadline, maxDeadline.Milliseconds())
	}
	return budget, nil
}

// storeRetryAfter is the Retry-After while the table service is unavailable.
const storeRetryAfter = 5 * time.Second

// admit accepts a classified request if the ledger can store its bill.
func (r *request) admit() *apierror.Error {
	r.fire(statechart.RequestClassify)
	if err := r.gateway.Bills.Admit(); err != nil {
		return apierror.New(http.StatusServiceUnavailable, apierror.CodeStoreUnavailable, "bills can't be stored now").WithRetryAfter(storeRetryAfter)
	}
	r.gateway.Retries.Request()
	r.fire(statechart.RequestAdmit)
	return nil
}

// fire applies an event to the request's state machine. An event that the chart
// doesn't allow is a bug: it is logged and counted, and the request continues.
func (r *request) fire(e statechart.Event) {
	if _, err := r.lifecycle.Fire(e); err != nil {
		r.gateway.Log.Log(events.RequestStepRefused, events.Fields{RequestID: r.id, Err: err})
	}
}

// refuse writes a refusal: as the complete response, or as an error event if the
// response is already being streamed.
func (r *request) refuse(refusal *apierror.Error) {
	refusal.RequestID = r.id
	if r.record.Streaming {
		newEventWriter(r.w).markStarted().fail(refusal)
		return
	}
	refusal.Write(r.w)
}

// finish fires the final event of a refused or failed request and stores the
// request's record.
func (r *request) finish(refusal *apierror.Error) {
	switch {
	case refusal == nil:
	case refusal.Execution == apierror.NotRun:
		r.fire(statechart.RequestRefuse)
	default:
		r.fire(statechart.RequestFail)
	}
	r.record.end(r, refusal)
	r.gateway.Records.Add(r.record)
	r.logEnd(refusal)
}

func (r *request) logEnd(refusal *apierror.Error) {
	fields := events.Fields{RequestID: r.id, Duration: time.Since(r.record.StartedAt), Count: r.attempts}
	if r.view != nil {
		fields.Account = r.view.ID
	}
	if refusal == nil {
		r.gateway.Log.Log(events.RequestAnswered, fields)
		return
	}
	fields.Reason = string(refusal.Code)
	if refusal.Execution == apierror.NotRun {
		r.gateway.Log.Log(events.RequestRefused, fields)
		return
	}
	r.gateway.Log.Log(events.RequestFailed, fields)
}

// nextAttemptID returns the id of the next attempt.
func (r *request) nextAttemptID() string {
	r.attempts++
	return r.id + "." + strconv.Itoa(r.attempts)
}

// updateExecution raises the request's execution status; it never lowers it.
func (r *request) updateExecution(status apierror.ExecutionStatus) {
	if executionOrder(status) > executionOrder(r.execution) {
		r.execution = status
	}
}

// executionOrder ranks execution statuses from NotRun to DidRun.
func executionOrder(status apierror.ExecutionStatus) int {
	switch status {
	case apierror.MayHaveRun:
		return 1
	case apierror.DidRun:
		return 2
	default:
		return 0
	}
}

// billID returns the id of the bill. A resend with the same key and body counts
// as the same request and shares its bill; the same key with another body doesn't.
func (r *request) billID() string {
	if r.key == "" {
		return r.id
	}
	sum := sha256.New()
	sum.Write([]byte(r.key))
	sum.Write([]byte{0})
	sum.Write(r.body)
	return "key-" + hex.EncodeToString(sum.Sum(nil)[:16])
}

// bill makes the request's bill durable. It is called before the end of the
// answer is sent to the caller.
func (r *request) bill(ctx context.Context) error {
	ctx, span := startSpan(ctx, r, tracing.HopBill)
	defer span.End()
	rec := billing.Record{Account: r.view.ID, RequestID: r.billID(), At: time.Now().UTC(), Lines: r.lines}
	for _, line := range r.lines {
		if line.Billed {
			rec.Total += line.Cost
		}
	}
	r.record.Bill = &rec
	// The bill is due even if the caller has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), billTimeout)
	defer cancel()
	return r.gateway.Bills.Record(ctx, rec)
}

// billTimeout bounds how long an answer waits for its bill if neither a peer nor
// the store accepts it. The ledger keeps the bill and refuses new work meanwhile.
const billTimeout = 5 * time.Second
