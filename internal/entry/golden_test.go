package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/gateway"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/standin/booking"
	"github.com/basilrail/basilrail/internal/standin/engine"
	"github.com/basilrail/basilrail/internal/standin/platformserver"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
)

// transcript records a session: each exchange, the hops of its spans, the events
// logged and the rows of the table service. Values that are random in each run
// are replaced by stable names.
type transcript struct {
	strings.Builder
	f     *fleet
	names map[string]string
}

var (
	uuidPattern   = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	retryPattern  = regexp.MustCompile(`"retry_after_seconds":\d+`)
	serverPattern = regexp.MustCompile(`lagos-(engine|booking)-\d+(-\d+)?`)
	hexPattern    = regexp.MustCompile(`[0-9a-f]{16,}`)
	timePattern   = regexp.MustCompile(`\d{8}T\d{6}\.\d+`)
	bootPattern   = regexp.MustCompile(`(entry-\d)\.[0-9a-f]+/\d+`)
)

// normalize replaces random values by names that are the same in each run.
func (s *transcript) normalize(text string) string {
	text = uuidPattern.ReplaceAllStringFunc(text, func(id string) string {
		if _, ok := s.names[id]; !ok {
			s.names[id] = fmt.Sprintf("id-%d", len(s.names)+1)
		}
		return s.names[id]
	})
	// The retry delay is jittered; only its presence is compared.
	text = retryPattern.ReplaceAllString(text, `"retry_after_seconds":"<jittered>"`)
	return serverPattern.ReplaceAllString(text, "a-$1-server")
}

// exchange records a reply and the hops of its request.
func (s *transcript) exchange(title string, r reply) {
	require.NoError(s.f.t, r.err)
	fmt.Fprintf(s, "## %s\n\nstatus %d\n", title, r.status)
	for _, name := range []string{gateway.HeaderVersion, gateway.HeaderCost, gateway.HeaderReplayed, "Content-Type"} {
		if value := r.header.Get(name); value != "" {
			fmt.Fprintf(s, "%s: %s\n", name, value)
		}
	}
	for _, name := range []string{gateway.HeaderSessionToken, "Retry-After"} {
		if r.header.Get(name) != "" {
			fmt.Fprintf(s, "%s: present\n", name)
		}
	}
	fmt.Fprintf(s, "\n%s\n\nhops: %s\n\n", strings.TrimSpace(s.normalize(string(r.body))), s.hops(r.header.Get(gateway.HeaderRequestID)))
}

// hops lists the kinds of span of a request. An answer may be rated again after
// it was sent, so the order and number of spans are omitted.
func (s *transcript) hops(requestID string) string {
	time.Sleep(time.Second)
	_, text, ok := s.f.instances[0].explain.Explain(context.Background(), requestID)
	require.True(s.f.t, ok)
	var record struct {
		Spans []struct{ Hop string }
	}
	require.NoError(s.f.t, json.Unmarshal(text, &record))
	var hops []string
	for _, span := range record.Spans {
		hops = append(hops, span.Hop)
	}
	sort.Strings(hops)
	return strings.Join(slices.Compact(hops), ", ")
}

var eventPattern = regexp.MustCompile(`event=(\d+).* name=([a-z_]+)`)

// events records which events were logged.
func (s *transcript) events() {
	s.f.mu.Lock()
	found := eventPattern.FindAllStringSubmatch(s.f.log.String(), -1)
	s.f.mu.Unlock()
	var lines []string
	for _, match := range found {
		lines = append(lines, match[1]+" "+match[2])
	}
	sort.Strings(lines)
	fmt.Fprintf(s, "## Events logged\n\n%s\n\n", strings.Join(slices.Compact(lines), "\n"))
}

// rows records the kinds of rows in the table service, except settings. Rows are
// deduplicated, because the grouping of bills into rows depends on flush timing.
func (s *transcript) rows() {
	rows, err := s.f.platform.Table().Scan(context.Background(), "", "", 0)
	require.NoError(s.f.t, err)
	var keys []string
	for _, row := range rows {
		if strings.HasPrefix(row.Key, "settings/") {
			continue
		}
		key := timePattern.ReplaceAllString(s.normalize(row.Key), "<time>")
		key = bootPattern.ReplaceAllString(key, "<entry>")
		keys = append(keys, hexPattern.ReplaceAllString(key, "<hash>"))
	}
	sort.Strings(keys)
	fmt.Fprintf(s, "## Rows of the table service\n\n%s\n\n", strings.Join(slices.Compact(keys), "\n"))
}

// bills records the stored bills.
func (s *transcript) bills() {
	page, err := billing.NewReader(s.f.platform.Table()).List(context.Background(), "", "", 100)
	require.NoError(s.f.t, err)
	s.WriteString("## Bills\n\n")
	var lines []string
	for _, bill := range page.Bills {
		for _, line := range bill.Lines {
			lines = append(lines, fmt.Sprintf("%s %s: %s, %d in, %d out, cost %d, billed %t, total %d", bill.Account,
				hexPattern.ReplaceAllString(s.normalize(bill.RequestID), "<hash>"), line.Target, line.InputTokens, line.OutputTokens, line.Cost, line.Billed, bill.Total))
		}
	}
	sort.Strings(lines)
	s.WriteString(strings.Join(lines, "\n") + "\n")
}

// golden runs a session and compares its transcript with the golden file.
func golden(t *testing.T, name string, session func(f *fleet, s *transcript)) {
	t.Helper()
	var s transcript
	inFleet(t, 3, func(f *fleet) {
		s = transcript{f: f, names: make(map[string]string)}
		// Remove the rollout: it would assign another version to some sessions, by
		// their random ids.
		f.apply(0, settings.Document{Path: "/teams/ikoyi/rollouts/writer-v2"})
		time.Sleep(settleTime)
		session(f, &s)
		time.Sleep(settleTime)
		s.events()
		s.rows()
		s.bills()
	})
	goldie.New(t, goldie.WithNameSuffix(".md"), goldie.WithFixtureDir("testdata/golden")).Assert(t, name, []byte(s.String()))
}

// withdrawWriter withdraws writer@v1 through the first instance.
func withdrawWriter(f *fleet) {
	docs, _ := f.instances[0].syncer.Documents("/models/writer")
	body := strings.Replace(string(docs[0].Body), "  v1:\n", "  v1:\n    withdrawn: true\n", 1)
	f.apply(0, settings.Document{Path: docs[0].Path, Body: []byte(body)})
	time.Sleep(settleTime)
}

func TestGoldenShopDay(t *testing.T) {
	golden(t, "shop-day", func(f *fleet, s *transcript) {
		task := func(name string, more ...string) []string {
			return append([]string{gateway.HeaderTask, name}, more...)
		}
		turn := f.chat(0, shopA, "auto", "Oak wardrobe, two doors", task("describe")...)
		s.exchange("A description, entry 1", turn)
		s.exchange("A streamed tag, entry 2", f.streamChat(1, shopA, "tagger@v1", "Light marks on one side"))
		token := turn.header.Get(gateway.HeaderSessionToken)
		next := f.chat(2, shopA, "auto", "Make it shorter", task("describe", gateway.HeaderSessionToken, token)...)
		s.exchange("The session's second turn, entry 3", next)
		book := func(n int) reply {
			return f.call(n, shopA, http.MethodPost, "/v1/services/booking/bookings", `{"van":"1"}`, gateway.HeaderIdempotencyKey, "pickup-1")
		}
		s.exchange("A booking, entry 1", book(0))
		s.exchange("The same booking, entry 2", book(1))
		s.exchange("A booking without a key, entry 3", f.call(2, shopA, http.MethodPost, "/v1/services/booking/bookings", `{}`))
		withdrawWriter(f)
		s.exchange("The session's third turn after its version was withdrawn, entry 2",
			f.chat(1, shopA, "auto", "Once more", task("describe", gateway.HeaderSessionToken, token)...))
		s.exchange("A new session, entry 3", f.chat(2, shopA, "auto", "Pine table", task("describe")...))
	})
}

// TestGoldenBadDay covers interrupted streams, misattributed and lost answers, and
// an outage of the table service.
func TestGoldenBadDay(t *testing.T) {
	golden(t, "bad-day", func(f *fleet, s *transcript) {
		book := func(n int, key string) reply {
			return f.call(n, shopA, http.MethodPost, "/v1/services/booking/bookings", `{"van":"2"}`, gateway.HeaderIdempotencyKey, key)
		}
		f.setFaults(engine.Faults{CutAfterChunks: 6})
		s.exchange("A stream that the engine cuts", f.streamChat(0, shopA, "planner@v1", "Plan for six chairs"))
		f.setFaults(engine.Faults{WrongAttemptID: true})
		s.exchange("An answer under another attempt's id", f.chat(1, shopA, "planner@v1", "Plan for a sofa"))
		f.setFaults(engine.Faults{})
		time.Sleep(settleTime)

		f.setBookingFaults(booking.Faults{CrashAfterExecute: true})
		s.exchange("A booking whose answer is lost", book(0, "pickup-2"))
		f.setBookingFaults(booking.Faults{})
		time.Sleep(settleTime)
		s.exchange("The same booking, at another entry instance", book(1, "pickup-2"))

		f.platform.SetFaults(platformserver.Faults{Table: memtable.Faults{Down: true}})
		s.exchange("A booking while the table service is out", book(2, "pickup-3"))
		s.exchange("A chat while the table service is out", f.chat(2, shopA, "planner@v1", "Plan for a bed"))
		f.platform.SetFaults(platformserver.Faults{})
		time.Sleep(settleTime)
		s.exchange("The same booking when it is back", book(2, "pickup-3"))
	})
}

func (f *fleet) setBookingFaults(faults booking.Faults) {
	for _, b := range f.bookings {
		b.SetFaults(faults)
	}
}
