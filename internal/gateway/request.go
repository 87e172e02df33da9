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

// request is one caller's request on its way.
type request struct {
	gateway *Gateway
	id      string
	view    *settings.AccountView
	http    *http.Request
	w       http.ResponseWriter
	body    []byte
	// key is the caller's Idempotency-Key, or empty.
	key      string
	deadline time.Time
	life     *statechart.Machine
	lines    []billing.Line
	attempts int
	// ran is the most that may have happened so far.
	ran    apierror.Ran
	record *Record
}

// serve identifies a request, counts it against its account's limits and runs
// its handler, whose refusal becomes the answer.
func (g *Gateway) serve(handle func(ctx context.Context, r *request) *apierror.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, hr *http.Request) {
		g.inFlight.Add(1)
		defer g.inFlight.Done()
		r := &request{
			gateway: g,
			id:      uuid.NewString(),
			http:    hr,
			w:       newPatientWriter(w, g.WriteTimeout),
			life:    statechart.NewMachine(g.Charts.Request),
			ran:     apierror.NotRun,
		}
		r.record = newRecord(r.id)
		w.Header().Set(HeaderRequestID, r.id)
		refusal := g.run(hr.Context(), r, handle)
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
	leave, refusal := g.limits.enter(r.view, g.connectionLimit(r.view.Account.Limits))
	if refusal != nil {
		return refusal
	}
	defer leave()
	if refusal := r.read(); refusal != nil {
		return refusal
	}
	ctx, span := startEntry(ctx, r)
	defer span.End()
	return handle(ctx, r)
}

// identify finds the client account of the caller's key.
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

// read takes the body and the headers that all requests share.
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

// maxKeyBytes bounds a caller's Idempotency-Key.
const maxKeyBytes = 256

func bodyRefusal(err error) *apierror.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return apierror.New(http.StatusRequestEntityTooLarge, apierror.CodeTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, "the body could not be read whole")
}

// budget is the request's time budget: the caller's, the team's, or the default.
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

// storeRetry is when to come back while the table service is out.
const storeRetry = 5 * time.Second

// admit takes in a classified request, if its bill will find room.
func (r *request) admit() *apierror.Error {
	r.fire(statechart.RequestClassify)
	if err := r.gateway.Bills.Admit(); err != nil {
		return apierror.New(http.StatusServiceUnavailable, apierror.CodeStoreUnavailable, "bills can't be stored now").Retry(storeRetry)
	}
	r.gateway.Retries.Request()
	r.fire(statechart.RequestAdmit)
	return nil
}

// fire moves the request through its life. A step out of order is a fault of
// this program: it is logged and counted, and the request goes on.
func (r *request) fire(e statechart.Event) {
	if _, err := r.life.Fire(e); err != nil {
		r.gateway.Log.Log(events.RequestStepRefused, events.Fields{RequestID: r.id, Err: err})
	}
}

// refuse writes a refusal, unless the answer has begun.
func (r *request) refuse(refusal *apierror.Error) {
	refusal.RequestID = r.id
	if r.record.Streaming {
		newEventWriter(r.w).resume().fail(refusal)
		return
	}
	refusal.Write(r.w)
}

// finish ends the request's life and stores its record.
func (r *request) finish(refusal *apierror.Error) {
	switch {
	case refusal == nil:
	case refusal.Ran == apierror.NotRun:
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
	if refusal.Ran == apierror.NotRun {
		r.gateway.Log.Log(events.RequestRefused, fields)
		return
	}
	r.gateway.Log.Log(events.RequestFailed, fields)
}

// nextAttempt names the next attempt.
func (r *request) nextAttempt() string {
	r.attempts++
	return r.id + "." + strconv.Itoa(r.attempts)
}

// sawFate remembers the most that may have happened.
func (r *request) sawFate(ran apierror.Ran) {
	if rank(ran) > rank(r.ran) {
		r.ran = ran
	}
}

func rank(ran apierror.Ran) int {
	switch ran {
	case apierror.MayHaveRun:
		return 1
	case apierror.DidRun:
		return 2
	default:
		return 0
	}
}

// billName names the bill. A caller's resend with the same key and body is the
// same request and has the same bill; a key reused for another body has not.
func (r *request) billName() string {
	if r.key == "" {
		return r.id
	}
	sum := sha256.New()
	sum.Write([]byte(r.key))
	sum.Write([]byte{0})
	sum.Write(r.body)
	return "key-" + hex.EncodeToString(sum.Sum(nil)[:16])
}

// bill makes the request's bill durable. It is called before the caller sees
// the end of the answer.
func (r *request) bill(ctx context.Context) error {
	ctx, span := startSpan(ctx, r, tracing.HopBill)
	defer span.End()
	rec := billing.Record{Account: r.view.ID, RequestID: r.billName(), At: time.Now().UTC(), Lines: r.lines}
	for _, line := range r.lines {
		if line.Billed {
			rec.Total += line.Cost
		}
	}
	r.record.Bill = &rec
	// The bill is owed also when the caller has gone.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), billWait)
	defer cancel()
	return r.gateway.Bills.Record(ctx, rec)
}

// billWait bounds how long an answer waits for its bill where neither a peer nor
// the store takes it. The ledger keeps the bill, and refuses new work meanwhile.
const billWait = 5 * time.Second
