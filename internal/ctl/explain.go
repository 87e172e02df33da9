package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/basilrail/basilrail/internal/adminapi"
	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/explain"
	"github.com/basilrail/basilrail/internal/gateway"
)

// writeExplanation prints the record of a request as text. A record that another
// version of the program wrote in a different form is printed as JSON.
func writeExplanation(w io.Writer, e adminapi.Explanation) {
	var explanation explain.Explanation
	if json.Unmarshal(e.Record, &explanation) != nil || explanation.Record == nil {
		writeRawRecord(w, e)
		return
	}
	fmt.Fprintf(w, "request %s of client account %s, served by %s\n", explanation.RequestID, e.Account, explanation.ServedBy)
	fmt.Fprintf(w, "%s after %v", explanation.State, explanation.Duration.Round(time.Microsecond))
	if explanation.Refusal != nil {
		fmt.Fprintf(w, ": %s, %s (%s)", explanation.Refusal.Code, explanation.Refusal.Message, explanation.Refusal.Execution)
	}
	fmt.Fprintln(w)
	for _, verdict := range explanation.Plan {
		fmt.Fprintf(w, "plan: %s %s\n", verdict.Version, verdict.Reason)
	}
	for _, attempt := range explanation.Attempts {
		writeAttempt(w, attempt)
	}
	writeBill(w, explanation.Bill)
	writeSpans(w, explanation)
}

func writeRawRecord(w io.Writer, e adminapi.Explanation) {
	var record bytes.Buffer
	// The record was decoded as JSON, so it is valid.
	_ = json.Indent(&record, e.Record, "", "  ")
	fmt.Fprintf(w, "client account %s\n%s\n", e.Account, record.String())
}

func writeAttempt(w io.Writer, a gateway.AttemptRecord) {
	fmt.Fprintf(w, "attempt %s of %s at %s: %s, queued %v, took %v", a.ID, a.Target, a.Server, a.Outcome,
		a.Queued.Round(time.Microsecond), a.Duration.Round(time.Microsecond))
	if a.Score != nil {
		fmt.Fprintf(w, ", rated %.2f", *a.Score)
	}
	fmt.Fprintln(w)
	for _, candidate := range a.Candidates {
		fmt.Fprintf(w, "  %s: %s, load %.0f\n", candidate.Server, candidate.Reason, candidate.Load)
	}
}

func writeBill(w io.Writer, bill *billing.Record) {
	if bill == nil {
		fmt.Fprintln(w, "no bill")
		return
	}
	fmt.Fprintf(w, "bill %s: %d micro-units\n", bill.RequestID, bill.Total)
	for _, line := range bill.Lines {
		fmt.Fprintf(w, "  %s %s: %d, billed %t\n", line.AttemptID, line.Target, line.Cost, line.Billed)
	}
}

// writeSpans lists the hops in the order in which they ended.
func writeSpans(w io.Writer, explanation explain.Explanation) {
	table(w, "SPAN\tTOOK\tSTARTED", func(w io.Writer) {
		for _, span := range explanation.Spans {
			fmt.Fprintf(w, "%s\t%v\t%s\n", span.Hop, span.Duration.Round(time.Microsecond), span.Start.Format(time.RFC3339Nano))
		}
	})
}
