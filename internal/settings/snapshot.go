package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Snapshot is one revision of the settings, indexed for lookups. It is immutable.
type Snapshot struct {
	// Revision orders snapshots; a later one replaces an earlier one.
	Revision uint64
	Tree     Tree
	// byKeyHash is keyed by the hexadecimal SHA-256 of a caller's key.
	byKeyHash map[string]*AccountView
	byID      map[AccountID]*AccountView
}

// AccountView is a client account together with its team.
type AccountView struct {
	ID       AccountID
	TeamName string
	Name     string
	Account  Account
	Team     Team
}

// Compile builds a Snapshot from a tree that has no findings.
func Compile(revision uint64, tree Tree) *Snapshot {
	s := &Snapshot{
		Revision:  revision,
		Tree:      tree,
		byKeyHash: make(map[string]*AccountView),
		byID:      make(map[AccountID]*AccountView),
	}
	for team, accounts := range tree.Accounts {
		for name, account := range accounts {
			s.addAccount(team, name, account)
		}
	}
	return s
}

func (s *Snapshot) addAccount(team, name string, account Account) {
	view := &AccountView{
		ID:       NewAccountID(team, name),
		TeamName: team,
		Name:     name,
		Account:  account,
		Team:     s.Tree.Teams[team],
	}
	s.byID[view.ID] = view
	for _, sum := range account.KeySHA256 {
		s.byKeyHash[sum] = view
	}
}

// HashKey returns the lower-case hexadecimal SHA-256 of a caller's or operator's
// key, as stored in the settings.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// AccountByKey returns the client account that owns a caller's key. The lookup is
// by the key's hash, so its timing reveals nothing about the key.
func (s *Snapshot) AccountByKey(key string) (*AccountView, bool) {
	view, ok := s.byKeyHash[HashKey(key)]
	return view, ok
}

// Account returns the client account with the id.
func (s *Snapshot) Account(id AccountID) (*AccountView, bool) {
	view, ok := s.byID[id]
	return view, ok
}

// Permission says whether a client account may use a version.
type Permission int

// The permissions.
const (
	// Permitted versions may be used.
	Permitted Permission = iota
	// NotAllowed versions are unknown or not in the list of the account or its team.
	NotAllowed
	// VersionWithdrawn versions are withdrawn, for all teams or by a rollout of this
	// team, and receive no new work.
	VersionWithdrawn
)

// Permission returns whether the account may use the version.
func (s *Snapshot) Permission(account AccountID, ref VersionRef) Permission {
	view, ok := s.byID[account]
	if !ok || !view.usesModel(ref.Model) {
		return NotAllowed
	}
	return s.TeamPermission(view.TeamName, ref)
}

// TeamPermission returns whether the team may use the version, regardless of the
// lists of its client accounts.
func (s *Snapshot) TeamPermission(team string, ref VersionRef) Permission {
	version, ok := s.Tree.Models[ref.Model].Versions[ref.Version]
	if !ok {
		return NotAllowed
	}
	if version.Withdrawn || s.rolloutWithdrew(team, ref) {
		return VersionWithdrawn
	}
	if !slices.Contains(s.Tree.Teams[team].Models[ref.Model].Allowed, ref.Version) {
		return NotAllowed
	}
	return Permitted
}

// usesModel reports whether the account's own list is empty or contains the model.
func (v *AccountView) usesModel(model string) bool {
	return len(v.Account.Models) == 0 || slices.Contains(v.Account.Models, model)
}

// rolloutWithdrew reports whether a rollout of the team to the version was withdrawn.
func (s *Snapshot) rolloutWithdrew(team string, ref VersionRef) bool {
	for _, r := range s.Tree.Rollouts[team] {
		if r.Status == RolloutWithdrawn && r.Model == ref.Model && r.To == ref.Version {
			return true
		}
	}
	return false
}

// Version returns the settings of a version, or false if it is unknown.
func (s *Snapshot) Version(ref VersionRef) (Version, bool) {
	version, ok := s.Tree.Models[ref.Model].Versions[ref.Version]
	return version, ok
}

// Cascade returns the cascade for a task, or else the one for DefaultTask.
func (v *AccountView) Cascade(task string) (Cascade, bool) {
	if cascade, ok := v.Team.Cascades[task]; ok {
		return cascade, true
	}
	cascade, ok := v.Team.Cascades[DefaultTask]
	return cascade, ok
}

// DefaultTask is the task of the cascade used for requests that name no listed task.
const DefaultTask = "default"

// IsIdempotent reports whether a call of the service may run more than once.
func (svc Service) IsIdempotent(method, path string) bool {
	for _, op := range svc.Operations {
		if op.Method == method && strings.HasPrefix(path, op.PathPrefix) {
			return op.Idempotent
		}
	}
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}
