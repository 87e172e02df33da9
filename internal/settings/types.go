// Package settings defines the operators' settings: a tree of YAML documents that
// are validated together and compiled into an immutable Snapshot, from which
// routing decisions are made.
//
// Each document is a YAML mapping at one of these paths:
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

// VersionRef identifies a version of a model, written "model@version".
type VersionRef struct {
	Model   string
	Version string
}

// String returns the reference as "model@version".
func (r VersionRef) String() string { return r.Model + "@" + r.Version }

// IsZero reports whether the reference is empty.
func (r VersionRef) IsZero() bool { return r == VersionRef{} }

// ParseVersionRef parses "model@version"; ok is false for any other form.
func ParseVersionRef(s string) (ref VersionRef, ok bool) {
	model, version, found := strings.Cut(s, "@")
	if !found || model == "" || version == "" || strings.Contains(version, "@") {
		return VersionRef{}, false
	}
	return VersionRef{Model: model, Version: version}, true
}

// Fleet holds the settings that all teams share.
type Fleet struct {
	// Region is the name of the region the fleet runs in.
	Region string `yaml:"region"`
	// FailureDomains lists every failure domain of the region.
	FailureDomains []string `yaml:"failure_domains"`
	// TokenKeys are the session token keys. The first one is used to sign,
	// all to verify.
	TokenKeys []TokenKey `yaml:"token_keys"`
	// Operators are the operators, each of whom may read or change one subtree.
	Operators []Operator `yaml:"operators"`
}

// TokenKey identifies a session token key. Each instance derives the secret
// from its master secret and ID, so the settings never contain it.
type TokenKey struct {
	ID string `yaml:"id"`
}

// Role is what an operator may do in its subtree.
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
	// Subtree is the path at and below which the role applies; "/" is the whole tree.
	Subtree string `yaml:"subtree"`
}

// Model is one model and its versions.
type Model struct {
	Versions map[string]Version `yaml:"versions"`
}

// TokensPerCostUnit is the number of tokens to which a version's costs refer.
const TokensPerCostUnit = 1000

// Version is one version of a model.
type Version struct {
	// InputCost and OutputCost are in micro-units per TokensPerCostUnit tokens.
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
	// Capacity is the number of requests the server runs concurrently.
	Capacity int `yaml:"capacity"`
	// Accelerators is the number of accelerators behind the server.
	Accelerators int    `yaml:"accelerators"`
	Traits       Traits `yaml:"traits"`
}

// Traits are the features that a backend server is declared to support.
type Traits struct {
	// ChecksFencing is set if the server refuses commands with an old fencing number.
	ChecksFencing bool `yaml:"checks_fencing"`
	// HonoursKeys is set if the server itself runs each request key at most once.
	HonoursKeys bool `yaml:"honours_keys"`
	// ResumesStreams is set if the server can resume an interrupted stream at an offset.
	ResumesStreams bool `yaml:"resumes_streams"`
}

// Team is one team's policy.
type Team struct {
	// QualityTarget is the fraction of answers that must be acceptable, 0 to 1.
	QualityTarget float64 `yaml:"quality_target"`
	// Deadline is a request's time budget unless the caller sets one.
	Deadline time.Duration `yaml:"deadline"`
	// Models lists the models the team may use.
	Models map[string]TeamModel `yaml:"models"`
	// Cascades maps a task to the models that may answer it, cheapest first.
	// The task "default" serves requests that name no listed task.
	Cascades map[string]Cascade `yaml:"cascades"`
	// Services lists the plain services the team may call.
	Services []string `yaml:"services"`
}

// TeamModel is a team's use of one model.
type TeamModel struct {
	// Stable is the version that new sessions get unless a rollout selects another.
	Stable string `yaml:"stable"`
	// Allowed lists every version the team may use, Stable included.
	Allowed []string `yaml:"allowed"`
}

// Cascade is the choice of models for one task.
type Cascade struct {
	// Models may answer the task, cheapest first; answers of the last are assumed
	// to be acceptable.
	Models []string `yaml:"models"`
	// QualityTarget overrides the team's target; zero means no override.
	QualityTarget float64 `yaml:"quality_target"`
}

// Account is a client account.
type Account struct {
	// KeySHA256 are the lower-case hexadecimal SHA-256 sums of the caller's keys.
	KeySHA256 []string `yaml:"key_sha256"`
	// Weight is the account's share under contention; zero means 1.
	Weight float64 `yaml:"weight"`
	// Models restricts the account to some of the team's models; empty allows all.
	Models []string `yaml:"models"`
	Limits Limits   `yaml:"limits"`
}

// Limits are the limits of one client account at one instance. Zero fields
// take the defaults.
type Limits struct {
	// Connections is the maximum number of requests in flight.
	Connections int `yaml:"connections"`
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64 `yaml:"body_bytes"`
	// RequestsPerSecond is the maximum sustained request rate.
	RequestsPerSecond float64 `yaml:"requests_per_second"`
}

// RolloutStatus is the state of a rollout.
type RolloutStatus string

// The rollout states; the rollout state chart defines their transitions.
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
	// Stage is the index of the current stage in Stages.
	Stage  int     `yaml:"stage"`
	Stages []Stage `yaml:"stages"`
	// BadRate is the fraction of bad answers that the version must stay below.
	BadRate float64 `yaml:"bad_rate"`
	// Reason is why the rollout was paused or withdrawn.
	Reason string `yaml:"reason,omitempty"`
}

// Stage is one step of a rollout.
type Stage struct {
	// Percent is the share of new sessions that get the new version, 0 to 100.
	Percent float64 `yaml:"percent"`
	// MinSamples is the number of rated answers needed before the next stage.
	MinSamples int `yaml:"min_samples"`
	// MinDuration is the minimum time spent in the stage.
	MinDuration time.Duration `yaml:"min_duration"`
}

// Tree holds all documents in decoded form.
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

// Document is the YAML text at one path.
type Document struct {
	Path string `json:"path" cbor:"path"`
	// Body is the YAML text; empty in a Change means "delete".
	Body []byte `json:"body" cbor:"body"`
	// Revision is the settings revision that last changed the document.
	Revision uint64 `json:"revision" cbor:"revision"`
}

// Change is an operator's request to replace documents, provided that they have
// not changed since the revisions it is based on.
type Change struct {
	// ID is unique to the change. If the outcome of a change is unknown, sending it
	// again under the same ID resolves the outcome.
	ID string `json:"id" cbor:"id"`
	// Author is the name of the operator or of the instance.
	Author string `json:"author" cbor:"author"`
	// Documents carry the new bodies; Revision is a settings revision at which
	// each was read, zero where the document must be new.
	Documents []Document `json:"documents" cbor:"documents"`
}

// AccountID identifies a client account: "team/name".
type AccountID string

// NewAccountID joins a team and an account name.
func NewAccountID(team, name string) AccountID { return AccountID(team + "/" + name) }
