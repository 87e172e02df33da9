package billing

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/tablestore"
)

// rowsPerScan is the maximum number of rows read by one scan.
const rowsPerScan = 64

// Page is one page of a list of bills.
type Page struct {
	Bills []Record `json:"bills"`
	// Next is the "after" argument for the next page. It is empty on the last page.
	Next string `json:"next,omitempty"`
}

// Conflict reports two records with the same key and different totals.
type Conflict struct {
	Account   settings.AccountID    `json:"account"`
	RequestID string                `json:"request_id"`
	Totals    []settings.MicroUnits `json:"totals"`
}

// AccountTotal is the sum of the bills of one client account.
type AccountTotal struct {
	Account settings.AccountID  `json:"account"`
	Bills   int                 `json:"bills"`
	Total   settings.MicroUnits `json:"total"`
}

// Reconciliation is the result of reading all bills of a period.
type Reconciliation struct {
	Accounts []AccountTotal `json:"accounts"`
	// Records is the number of records read. Duplicates is the number of those
	// that repeat the key of another record and are not counted again.
	Records    int        `json:"records"`
	Duplicates int        `json:"duplicates"`
	Conflicts  []Conflict `json:"conflicts,omitempty"`
}

// Reader reads bills from the table service.
type Reader struct {
	rows Scanner
}

// NewReader returns a Reader over the rows of the table service.
func NewReader(rows Scanner) *Reader { return &Reader{rows: rows} }

// billKey identifies a bill.
type billKey struct {
	account   settings.AccountID
	requestID string
}

// List returns the bills of a client account, or of all accounts if account is
// empty, ordered by the start time of their blocks and without duplicates. A
// page ends at the end of a block, so it may be longer than limit. Blocks
// stored late, after an outage, sort by their start time and may fall before a
// page already read. Reconcile includes them.
func (r *Reader) List(ctx context.Context, account settings.AccountID, after string, limit int) (Page, error) {
	var page Page
	seen := make(map[billKey]bool)
	err := r.scan(ctx, after, "", func(block string, records []Record) bool {
		if block != page.Next && len(page.Bills) >= limit {
			return false
		}
		page.Next = block
		for _, record := range records {
			key := billKey{record.Account, record.RequestID}
			if (account == "" || record.Account == account) && !seen[key] {
				seen[key] = true
				page.Bills = append(page.Bills, record)
			}
		}
		return true
	})
	if len(page.Bills) < limit {
		page.Next = ""
	}
	return page, err
}

// Reconcile reads all bills whose blocks were opened in [from, to) and counts
// each bill once. A zero time means no bound.
func (r *Reader) Reconcile(ctx context.Context, from, to time.Time) (Reconciliation, error) {
	var result Reconciliation
	firstTotals := make(map[billKey]settings.MicroUnits)
	err := r.scan(ctx, timeKey(from), timeKey(to), func(_ string, records []Record) bool {
		for _, record := range records {
			result.add(firstTotals, record)
		}
		return true
	})
	result.Accounts = accountTotals(firstTotals)
	return result, err
}

func (r *Reconciliation) add(firstTotals map[billKey]settings.MicroUnits, record Record) {
	r.Records++
	key := billKey{record.Account, record.RequestID}
	total, ok := firstTotals[key]
	if !ok {
		firstTotals[key] = record.Total
		return
	}
	r.Duplicates++
	if total != record.Total {
		totals := []settings.MicroUnits{total, record.Total}
		r.Conflicts = append(r.Conflicts, Conflict{record.Account, record.RequestID, totals})
	}
}

func accountTotals(firstTotals map[billKey]settings.MicroUnits) []AccountTotal {
	byAccount := make(map[settings.AccountID]*AccountTotal)
	for key, total := range firstTotals {
		entry := byAccount[key.account]
		if entry == nil {
			entry = &AccountTotal{Account: key.account}
			byAccount[key.account] = entry
		}
		entry.Bills++
		entry.Total += total
	}
	list := make([]AccountTotal, 0, len(byAccount))
	for _, entry := range byAccount {
		list = append(list, *entry)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Account < list[j].Account })
	return list
}

func timeKey(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return keyPrefix + t.UTC().Format(keyTimeLayout)
}

// scan visits the rows between two keys in key order until visit returns
// false. The block passed to visit is the same for all rows of a block.
func (r *Reader) scan(ctx context.Context, after, before string, visit func(block string, records []Record) bool) error {
	for {
		rows, err := r.rows.Scan(ctx, keyPrefix, after, rowsPerScan)
		if err != nil {
			return errors.Wrap(err, "read bills")
		}
		for _, row := range rows {
			if before != "" && row.Key >= before {
				return nil
			}
			block, records, err := decodeRow(row)
			if err != nil {
				return err
			}
			if !visit(block, records) {
				return nil
			}
			after = row.Key
		}
		if len(rows) < rowsPerScan {
			return nil
		}
	}
}

// decodeRow decodes a row. The returned block is a key that sorts after all
// rows of the block.
func decodeRow(row tablestore.Row) (block string, records []Record, err error) {
	var value rowValue
	if err := cbor.Unmarshal(row.Value, &value); err != nil {
		return "", nil, errors.Wrapf(err, "decode bills %s", row.Key)
	}
	records, err = decodeRecords(value.Records)
	return row.Key[:strings.LastIndex(row.Key, "/")] + "/~", records, errors.Wrap(err, row.Key)
}
