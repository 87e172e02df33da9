// Package settings holds the operators' settings: a tree of documents under
// paths, read from YAML, checked whole, and compiled into an immutable Snapshot
// that the decisions read.
//
// Documents stand at these paths, each a YAML mapping:
//
//	/fleet                          Fleet
//	/models/<model>                 Model
//	/services/<service>             Service
//	/servers/<server>               Server
//	/teams/<team>                   Team
//	/teams/<team>/accounts/<name>   Account
//	/teams/<team>/rollouts/<name>   Rollout
package settings

import (
	"strings"
	"time"
)

// MicroUnits is an amount of money in millionths of the billing currency.
type MicroUnits int64

// VersionRef names one version of one model, written "model@version".
type VersionRef struct {
	Model   string
	Version string
}

// String renders the reference as "model@version".
func (r VersionRef) String() string { return r.Model + "@" + r.Version }

// IsZero reports whether the reference names nothing.
func (r VersionRef) IsZero() bool { return r == VersionRef{} }

// ParseVersionRef reads "model@version"; ok is false on any other form.
func ParseVersionRef(s string) (ref VersionRef, ok bool) {
	model, version, found := strings.Cut(s, "@")
	if !found || model == "" || version == "" || strings.Contains(version, "@") {
		return VersionRef{}, false
	}
	return VersionRef{Model: model, Version: version}, true
}

// Fleet holds what all teams share.
type Fleet struct {
	// Region is the name of the region the fleet runs in.
	Region string `yaml:"region"`
	// FailureDomains lists every failure domain of the region.
	FailureDomains []string `yaml:"failure_domains"`
	// TokenKeys are the session token keys, the first one signs, all verify.
	TokenKeys []TokenKey `yaml:"token_keys"`
	// Operators may read or change a subtree.
	Operators []Operator `yaml:"operators"`
}

// TokenKey names one session token key. The secret itself is derived by each
// entry from its master secret and ID, so settings never hold it.
type TokenKey struct {
	ID string `yaml:"id"`
}

// Role is what an operator may do below its subtree.
type Role string

// The operator roles.
const (
	RoleReader Role = "reader"
	RoleEditor Role = "editor"
)

// Operator is a person or program that reads or changes settings.
type Operator struct {
	Name string `yaml:"name"`
	// KeySHA256 is the lower-case hexadecimal SHA-256 of the operator's key.
	KeySHA256 string `yaml:"key_sha256"`
	Role      Role   `yaml:"role"`
	// Subtree is the path at and below which the role applies; "/" is everything.
	Subtree string `yaml:"subtree"`
}

// Model is one model and its versions.
type Model struct {
	Versions map[string]Version `yaml:"versions"`
}

// TokensPerPrice is the number of tokens that a version's costs are given for.
const TokensPerPrice = 1000

// Version is one version of a model.
type Version struct {
	// InputCost and OutputCost are in micro-units per TokensPerPrice tokens.
	InputCost  MicroUnits `yaml:"input_cost"`
	OutputCost MicroUnits `yaml:"output_cost"`
	// Withdrawn versions receive no new work from any team.
	Withdrawn bool `yaml:"withdrawn"`
}

// Service is a plain service that calls are routed to.
type Service struct {
	// CallCost is billed per call, in micro-units.
	CallCost MicroUnits `yaml:"call_cost"`
	// Operations declares how calls behave; the first match wins. A call that
	// matches none is idempotent exactly when its method is GET, HEAD or OPTIONS.
	Operations []Operation `yaml:"operations"`
}

// Operation declares how one kind of call behaves.
type Operation struct {
	Method string `yaml:"method"`
	// PathPrefix is matched against the path below the service.
	PathPrefix string `yaml:"path_prefix"`
	Idempotent bool   `yaml:"idempotent"`
}

// Server is one backend server.
type Server struct {
	// Address is "ip:port".
	Address       string `yaml:"address"`
	FailureDomain string `yaml:"failure_domain"`
	// Models lists the models the server may load; empty for a plain service.
	Models []string `yaml:"models"`
	// Service is the plain service it runs; empty for a model engine.
	Service string `yaml:"service"`
	// Capacity is the number of requests the server runs at once.
	Capacity int `yaml:"capacity"`
	// Accelerators is the number of accelerators behind the server.
	Accelerators int    `yaml:"accelerators"`
	Traits       Traits `yaml:"traits"`
}

// Traits is what a backend server is declared to honour.
type Traits struct {
	// ChecksFencing servers refuse an order with an old fencing number.
	ChecksFencing bool `yaml:"checks_fencing"`
	// HonoursKeys servers run a request key at most once by themselves.
	HonoursKeys bool `yaml:"honours_keys"`
	// ResumesStreams servers continue a cut stream from an offset.
	ResumesStreams bool `yaml:"resumes_streams"`
}

// Team is one team's policy.
type Team struct {
	// QualityTarget is the fraction of answers that must be acceptable, 0 to 1.
	QualityTarget float64 `yaml:"quality_target"`
	// Deadline is a request's time budget where the caller names none.
	Deadline time.Duration `yaml:"deadline"`
	// Models lists what the team may use.
	Models map[string]TeamModel `yaml:"models"`
	// Cascades maps a task to the models that may answer it, cheapest first.
	// The task "default" serves requests that name no listed task.
	Cascades map[string]Cascade `yaml:"cascades"`
	// Services lists the plain services the team may call.
	Services []string `yaml:"services"`
}

// TeamModel is a team's use of one model.
type TeamModel struct {
	// Stable is the version new sessions get when no roll-out says otherwise.
	Stable string `yaml:"stable"`
	// Allowed lists every version the team may use, Stable included.
	Allowed []string `yaml:"allowed"`
}

// Cascade is the choice of models for one task.
type Cascade struct {
	// Models may answer the task, cheapest first; the last is trusted to be acceptable.
	Models []string `yaml:"models"`
	// QualityTarget overrides the team's; zero keeps it.
	QualityTarget float64 `yaml:"quality_target"`
}

// Account is a client account.
type Account struct {
	// KeySHA256 are the lower-case hexadecimal SHA-256 sums of the caller's keys.
	KeySHA256 []string `yaml:"key_sha256"`
	// Weight is the account's share under contention; zero means 1.
	Weight float64 `yaml:"weight"`
	// Models narrows the team's models; empty keeps them all.
	Models []string `yaml:"models"`
	Limits Limits   `yaml:"limits"`
}

// Limits bounds one client account at one entry instance; zero fields take the defaults.
type Limits struct {
	// Connections is the number of requests in flight.
	Connections int `yaml:"connections"`
	// BodyBytes bounds a request's body.
	BodyBytes int64 `yaml:"body_bytes"`
	// RequestsPerSecond is the sustained request rate.
	RequestsPerSecond float64 `yaml:"requests_per_second"`
}

// RolloutStatus is where a roll-out stands.
type RolloutStatus string

// The roll-out states; their transitions stand in the roll-out state chart.
const (
	RolloutRunning   RolloutStatus = "running"
	RolloutPaused    RolloutStatus = "paused"
	RolloutComplete  RolloutStatus = "complete"
	RolloutWithdrawn RolloutStatus = "withdrawn"
)

// Rollout moves a team's new sessions from one version to another in stages.
type Rollout struct {
	Model  string        `yaml:"model"`
	From   string        `yaml:"from"`
	To     string        `yaml:"to"`
	Status RolloutStatus `yaml:"status"`
	// Stage is the index into Stages now in force.
	Stage  int     `yaml:"stage"`
	Stages []Stage `yaml:"stages"`
	// BadRate is the fraction of bad answers the version must stay below.
	BadRate float64 `yaml:"bad_rate"`
	// Reason is why the roll-out was paused or withdrawn.
	Reason string `yaml:"reason,omitempty"`
}

// Stage is one step of a roll-out.
type Stage struct {
	// Percent of new sessions that get the new version, 0 to 100.
	Percent float64 `yaml:"percent"`
	// MinSamples is the number of rated answers needed before the next stage.
	MinSamples int `yaml:"min_samples"`
	// MinDuration is the least time spent in the stage.
	MinDuration time.Duration `yaml:"min_duration"`
}

// Tree is every document, typed.
type Tree struct {
	Fleet    Fleet
	Models   map[string]Model
	Services map[string]Service
	Servers  map[string]Server
	Teams    map[string]Team
	// Accounts and Rollouts are keyed by team, then by name.
	Accounts map[string]map[string]Account
	Rollouts map[string]map[string]Rollout
}

// Document is one path's YAML text.
type Document struct {
	Path string `json:"path" cbor:"path"`
	// Body is the YAML text; empty in a Change means "delete".
	Body []byte `json:"body" cbor:"body"`
	// Revision is the settings revision that last changed the document.
	Revision uint64 `json:"revision" cbor:"revision"`
}

// Change is an operator's request to replace documents, conditional on the
// revisions it was made from.
type Change struct {
	// ID is unique to the change; an unknown outcome is settled by it.
	ID string `json:"id" cbor:"id"`
	// Author is the operator's name, or the entry instance's.
	Author string `json:"author" cbor:"author"`
	// Documents carry the new bodies; Revision is a settings revision at which
	// each was read, zero where the document must be new.
	Documents []Document `json:"documents" cbor:"documents"`
}

// AccountID names a client account: "team/name".
type AccountID string

// NewAccountID joins a team and an account name.
func NewAccountID(team, name string) AccountID { return AccountID(team + "/" + name) }
