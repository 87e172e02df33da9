// Package tablestore defines the interfaces to the hosting platform: the
// transactional table service and the membership list.
//
// Every write has a typed outcome. A lost response is OutcomeUnknown, never a
// failure. The writer then reads back the row to find out whether the write took
// effect, so each value carries an id that is unique to its writer.
package tablestore

import (
	"context"

	"github.com/pkg/errors"
)

// ErrUnavailable is returned by reads while the platform can't be reached.
var ErrUnavailable = errors.New("platform unavailable")

// Outcome is the result of a write.
type Outcome int

// Outcomes of a write.
const (
	// OutcomeUnknown means that the response was lost. The write may have taken effect.
	OutcomeUnknown Outcome = iota
	// OutcomeCommitted means that the write took effect.
	OutcomeCommitted
	// OutcomeConflict means that a condition failed and nothing was written.
	OutcomeConflict
	// OutcomeNotApplied means that the write certainly had no effect.
	OutcomeNotApplied
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case OutcomeCommitted:
		return "committed"
	case OutcomeConflict:
		return "conflict"
	case OutcomeNotApplied:
		return "not applied"
	default:
		return "unknown"
	}
}

// Row is one row of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the table revision that last wrote the row, at least 1.
	Revision uint64 `json:"revision"`
}

// Condition requires that a row has exactly the given revision. Zero requires
// that the row does not exist.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Mutation writes or deletes one row.
type Mutation struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction. All its mutations are applied if all conditions hold,
// otherwise none is.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Mutations  []Mutation  `json:"mutations"`
}

// Result is the result of committing a Txn.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Revision is the table revision of the commit, if it was committed.
	Revision uint64 `json:"revision,omitempty"`
	// Conflicts are the current rows whose condition failed. An absent row has
	// revision zero.
	Conflicts []Row `json:"conflicts,omitempty"`
}

// Table is the transactional table service.
type Table interface {
	// Commit writes a transaction. Failures are reported in Result.Outcome.
	Commit(ctx context.Context, txn Txn) Result
	// Get reads rows by key and omits absent rows. Errors wrap ErrUnavailable.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan reads at most limit rows whose key has the prefix and sorts after
	// "after", in key order. Errors wrap ErrUnavailable.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// MemberKind distinguishes instances from backend servers.
type MemberKind string

// Kinds of members.
const (
	MemberEntry  MemberKind = "entry"
	MemberServer MemberKind = "server"
)

// Member is an entry of the membership list. The list may be out of date.
type Member struct {
	// ID is the id of the instance, or the name of the backend server in the settings.
	ID   string     `json:"id"`
	Kind MemberKind `json:"kind"`
	// Address is "ip:port" of the peer listener, or of the backend server.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Draining      bool   `json:"leaving"`
}

// Membership is the platform's list of instances and backend servers, live or draining.
type Membership interface {
	// List reads the membership list. Errors wrap ErrUnavailable.
	List(ctx context.Context) ([]Member, error)
	// Register adds or renews a member.
	Register(ctx context.Context, m Member) error
	// Deregister removes a member.
	Deregister(ctx context.Context, id string) error
}
