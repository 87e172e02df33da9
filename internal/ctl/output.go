package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/basilrail/basilrail/internal/adminapi"
	"github.com/basilrail/basilrail/internal/settings"
)

// printer writes results as text or JSON.
type printer struct {
	out  io.Writer
	json bool
}

// print writes the value as JSON, or calls the function for text.
func (p printer) print(value any, text func(w io.Writer)) error {
	if !p.json {
		text(p.out)
		return nil
	}
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// table writes aligned columns.
func table(w io.Writer, header string, rows func(w io.Writer)) {
	aligned := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(aligned, header)
	rows(aligned)
	// A write error means that the terminal or pipe is closed; it can't be reported.
	_ = aligned.Flush()
}

func writeDocumentsText(w io.Writer, docs []adminapi.Document) {
	for _, doc := range docs {
		fmt.Fprintf(w, "# %s (revision %d)\n%s\n", doc.Path, doc.Revision, doc.Body)
	}
}

func writeTree(w io.Writer, tree adminapi.Documents) {
	table(w, "PATH\tREVISION\tBYTES", func(w io.Writer) {
		for _, doc := range tree.Documents {
			fmt.Fprintf(w, "%s\t%d\t%d\n", doc.Path, doc.Revision, doc.Bytes)
		}
	})
}

func writeDiffs(w io.Writer, diffs []settings.DocumentDiff) {
	if len(diffs) == 0 {
		fmt.Fprintln(w, "no difference")
	}
	for _, diff := range diffs {
		fmt.Fprintf(w, "%s %s\n%s", diff.Kind, diff.Path, diff.Text)
	}
}

func writeApplied(w io.Writer, result adminapi.ApplyResult) {
	switch {
	case result.Unchanged:
		fmt.Fprintf(w, "nothing to change; revision %d is in effect\n", result.Revision)
	case result.Replayed:
		fmt.Fprintf(w, "change %s had been committed as revision %d\n", result.ChangeID, result.Revision)
	default:
		fmt.Fprintf(w, "change %s is committed as revision %d\n", result.ChangeID, result.Revision)
	}
}

func writeStatus(w io.Writer, status adminapi.Status) {
	fmt.Fprintf(w, "latest revision %d\n", status.Revision)
	table(w, "INSTANCE\tFAILURE DOMAIN\tREVISION\tSTATE\tAGE\tTABLE SERVICE", func(w io.Writer) {
		for _, instance := range status.Instances {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", instance.ID, instance.FailureDomain, instance.Revision,
				stateOf(instance), ageOf(instance), reachedOf(instance))
		}
	})
}

func stateOf(instance adminapi.InstanceStatus) string {
	switch {
	case !instance.Reachable:
		return "no answer"
	case !instance.Current:
		return "not current"
	case instance.Lagging:
		return "lagging"
	default:
		return "current"
	}
}

func ageOf(instance adminapi.InstanceStatus) string {
	if instance.AgeMillis < 0 {
		return "-"
	}
	return (time.Duration(instance.AgeMillis) * time.Millisecond).String()
}

func reachedOf(instance adminapi.InstanceStatus) string {
	if instance.StoreReached {
		return "reached"
	}
	return "not reached"
}

func writeRollouts(w io.Writer, list adminapi.Rollouts) {
	table(w, "ROLLOUT\tMODEL\tFROM\tTO\tSTATUS\tSTAGE\tPERCENT\tGOOD\tBAD\tREASON", func(w io.Writer) {
		for _, r := range list.Rollouts {
			fmt.Fprintf(w, "%s/%s\t%s\t%s\t%s\t%s\t%d of %d\t%g\t%s\t%s\n", r.Team, r.Name, r.Model, r.From, r.To,
				statusOf(r), r.Stage+1, r.Stages, r.StagePercent, evidenceOf(r), r.Reason)
		}
	})
}

func statusOf(r adminapi.Rollout) string {
	if r.Evidence != nil && r.Evidence.Suspended {
		return string(r.Status) + ", suspended"
	}
	return string(r.Status)
}

func evidenceOf(r adminapi.Rollout) string {
	if r.Evidence == nil {
		return "-\t-"
	}
	return fmt.Sprintf("%d\t%d", r.Evidence.Good, r.Evidence.Bad)
}

func writeBills(w io.Writer, bills adminapi.Bills) {
	table(w, "AT\tCLIENT ACCOUNT\tREQUEST\tATTEMPTS\tCOST", func(w io.Writer) {
		for _, bill := range bills.Bills {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", bill.At.UTC().Format(time.RFC3339), bill.Account, bill.RequestID,
				len(bill.Lines), money(bill.Total))
		}
	})
	fmt.Fprintf(w, "total %s\n", money(bills.Total))
	if bills.Next != "" {
		fmt.Fprintf(w, "more with --after %s\n", bills.Next)
	}
}

// microPerUnit is the number of micro-units in one unit of the currency.
const microPerUnit = 1_000_000

func money(amount settings.MicroUnits) string {
	return fmt.Sprintf("%d.%06d", amount/microPerUnit, amount%microPerUnit)
}
