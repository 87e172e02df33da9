// Package adminapi defines the operators' HTTP API for server and client: the
// paths and the JSON documents. Errors have the form of package apierror.
package adminapi

import (
	"encoding/json"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/findings"
	"github.com/basilrail/basilrail/internal/settings"
)

// The paths of the API. Subtree and paging are query parameters.
const (
	PathSettings = "/v1/settings"
	PathTree     = "/v1/tree"
	PathDiff     = "/v1/diff"
	PathCheck    = "/v1/check"
	PathApply    = "/v1/apply"
	PathStatus   = "/v1/status"
	PathRollouts = "/v1/rollouts"
	PathWithdraw = "/v1/withdraw"
	PathRequests = "/v1/requests"
	PathBills    = "/v1/bills"
)

// The query parameters.
const (
	// QuerySubtree limits settings to the documents at and below a path.
	QuerySubtree = "subtree"
	// QueryAccount names a client account as "team/name".
	QueryAccount = "account"
	// QueryAfter is the cursor of the page: Next of the previous page.
	QueryAfter = "after"
	// QueryLimit is the maximum number of items on a page.
	QueryLimit = "limit"
)

// Document is a settings document; an empty body in a change deletes it.
type Document struct {
	Path string `json:"path"`
	// Body is the YAML text; omitted in the answer to a tree request.
	Body string `json:"body,omitempty"`
	// Revision is the settings revision that last changed the document. In a change
	// it is a revision at which the document was read, zero for a new document.
	Revision uint64 `json:"revision"`
	// Bytes is the length of the YAML text in an answer, also if Body is omitted.
	Bytes int `json:"bytes,omitempty"`
}

// Documents is the answer to settings and tree requests, and the body of diff
// and check requests.
type Documents struct {
	Revision  uint64     `json:"revision,omitempty"`
	Documents []Document `json:"documents"`
}

// Diffs is the answer to a diff request.
type Diffs struct {
	Revision uint64                  `json:"revision"`
	Diffs    []settings.DocumentDiff `json:"diffs"`
}

// CheckResult is the answer to a check request.
type CheckResult struct {
	Findings findings.List `json:"findings"`
}

// Change is the body of an apply request.
type Change struct {
	ID        string     `json:"id"`
	Documents []Document `json:"documents"`
}

// ApplyResult is the answer to a request that changes settings.
type ApplyResult struct {
	ChangeID string `json:"change_id"`
	Revision uint64 `json:"revision"`
	// Replayed is true if the change had already been committed under its id.
	Replayed bool `json:"replayed,omitempty"`
	// Unchanged is true if the settings already had this content.
	Unchanged bool `json:"unchanged,omitempty"`
}

// Conflict is a document that changed since the operator read it.
type Conflict struct {
	Current Document              `json:"current"`
	Diff    settings.DocumentDiff `json:"diff"`
}

// ErrorBody is the answer to every failed request.
type ErrorBody struct {
	Error *apierror.Error `json:"error"`
	// Conflicts lists the conflicting documents of an error with the code "conflict".
	Conflicts []Conflict `json:"conflicts,omitempty"`
}

// InstanceStatus is the status of one instance, as seen by the instance that answers.
type InstanceStatus struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Reachable     bool   `json:"reachable"`
	Revision      uint64 `json:"revision"`
	// Lagging is true if another instance has a later revision or this one did not
	// answer.
	Lagging bool `json:"lagging"`
	// Current is true if the instance has confirmed that its settings are current,
	// which it requires to accept work.
	Current bool `json:"current"`
	// AgeMillis is the time since the settings were last confirmed as current;
	// negative if unknown.
	AgeMillis int64 `json:"age_ms"`
	// StoreReached is true if the instance's last read of the table service succeeded.
	StoreReached bool `json:"store_reached"`
}

// Status is the answer to a status request; lagging instances come first.
type Status struct {
	// Revision is the latest revision in effect on any instance.
	Revision  uint64           `json:"revision"`
	Instances []InstanceStatus `json:"instances"`
}

// Evidence holds the numbers of good and bad answers of a version.
type Evidence struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
	// Suspended is true if instances have suspended the version automatically.
	Suspended bool `json:"suspended"`
}

// Rollout is the state of one rollout.
type Rollout struct {
	Team   string                 `json:"team"`
	Name   string                 `json:"name"`
	Model  string                 `json:"model"`
	From   string                 `json:"from"`
	To     string                 `json:"to"`
	Status settings.RolloutStatus `json:"status"`
	// Stage is the index of the current stage, from zero, and Stages the number of
	// stages. StagePercent is the percentage of new sessions that get the version To.
	Stage        int       `json:"stage"`
	Stages       int       `json:"stages"`
	StagePercent float64   `json:"stage_percent"`
	Reason       string    `json:"reason,omitempty"`
	Evidence     *Evidence `json:"evidence,omitempty"`
}

// Rollouts is the answer to a rollouts request.
type Rollouts struct {
	Rollouts []Rollout `json:"rollouts"`
}

// Action is an operator's action on a rollout.
type Action string

// The actions.
const (
	ActionPause    Action = "pause"
	ActionResume   Action = "resume"
	ActionWithdraw Action = "withdraw"
)

// RolloutRequest is the body of a request for an action on a rollout.
type RolloutRequest struct {
	ChangeID string `json:"change_id"`
	Reason   string `json:"reason"`
}

// WithdrawRequest is the body of a request that withdraws a version everywhere.
type WithdrawRequest struct {
	ChangeID string `json:"change_id"`
	// Version is "model@version".
	Version string `json:"version"`
}

// Explanation is the answer to an explain request.
type Explanation struct {
	Account settings.AccountID `json:"account"`
	Record  json.RawMessage    `json:"record"`
}

// Bills is the answer to a bills request.
type Bills struct {
	Bills []billing.Record `json:"bills"`
	// Total is the sum of this page's bills.
	Total settings.MicroUnits `json:"total"`
	// Next is the value of QueryAfter for the next page; empty on the last.
	Next string `json:"next,omitempty"`
}
