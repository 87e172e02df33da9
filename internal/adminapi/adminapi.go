// Package adminapi is the operators' HTTP API as both sides see it: the paths
// and the JSON documents. Refusals have the shape of package apierror.
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
	// QuerySubtree narrows settings to a path and what stands below it.
	QuerySubtree = "subtree"
	// QueryAccount names a client account as "team/name".
	QueryAccount = "account"
	// QueryAfter is the last item of the previous page.
	QueryAfter = "after"
	// QueryLimit is the largest number of items on a page.
	QueryLimit = "limit"
)

// Document is a settings document; an empty body in a change deletes it.
type Document struct {
	Path string `json:"path"`
	// Body is the YAML text; Tree leaves it out.
	Body string `json:"body,omitempty"`
	// Revision is the one that last changed the document, or in a change one at
	// which it was read, zero for a new document.
	Revision uint64 `json:"revision"`
	Bytes    int    `json:"bytes,omitempty"`
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
	// Replayed is whether the change was committed before under its id.
	Replayed bool `json:"replayed,omitempty"`
	// Unchanged is whether the settings already read so.
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
	// Conflicts stand beside the code "conflict".
	Conflicts []Conflict `json:"conflicts,omitempty"`
}

// InstanceStatus is what one entry instance reports.
type InstanceStatus struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Reachable     bool   `json:"reachable"`
	Revision      uint64 `json:"revision"`
	// Lagging is whether another instance has a later revision, or this one did not answer.
	Lagging bool `json:"lagging"`
	// Current is whether it knows its settings to be current, and so takes work.
	Current bool `json:"current"`
	// AgeMillis is the time since they were surely current; negative for unknown.
	AgeMillis int64 `json:"age_ms"`
	// StoreReached is whether its last read of the table service succeeded.
	StoreReached bool `json:"store_reached"`
}

// Status is the answer to a status request; instances that lag come first.
type Status struct {
	// Revision is the newest one in force anywhere.
	Revision  uint64           `json:"revision"`
	Instances []InstanceStatus `json:"instances"`
}

// Evidence is what is known of a version's answers.
type Evidence struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
	// Suspended is whether instances have suspended the version by themselves.
	Suspended bool `json:"suspended"`
}

// Rollout is one roll-out.
type Rollout struct {
	Team         string                 `json:"team"`
	Name         string                 `json:"name"`
	Model        string                 `json:"model"`
	From         string                 `json:"from"`
	To           string                 `json:"to"`
	Status       settings.RolloutStatus `json:"status"`
	Stage        int                    `json:"stage"`
	Stages       int                    `json:"stages"`
	StagePercent float64                `json:"stage_percent"`
	Reason       string                 `json:"reason,omitempty"`
	Evidence     *Evidence              `json:"evidence,omitempty"`
}

// Rollouts is the answer to a roll-outs request.
type Rollouts struct {
	Rollouts []Rollout `json:"rollouts"`
}

// Action is what an operator does to a roll-out.
type Action string

// The actions.
const (
	ActionPause    Action = "pause"
	ActionResume   Action = "resume"
	ActionWithdraw Action = "withdraw"
)

// RolloutRequest is the body of a request that acts on a roll-out.
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
	// Next is the QueryAfter of the next page; empty on the last.
	Next string `json:"next,omitempty"`
}
