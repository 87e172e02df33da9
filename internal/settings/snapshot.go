package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Snapshot is one revision of the settings, compiled for reading. It never changes.
type Snapshot struct {
	// Revision orders snapshots; a later one replaces an earlier one.
	Revision uint64
	Tree     Tree
	// accounts is keyed by the hexadecimal SHA-256 of a caller's key.
	accounts map[string]*AccountView
	byID     map[AccountID]*AccountView
}

// AccountView is a client account together with its team.
type AccountView struct {
	ID       AccountID
	TeamName string
	Name     string
	Account  Account
	Team     Team
}

// Compile builds a Snapshot from a checked tree.
func Compile(revision uint64, tree Tree) *Snapshot {
	s := &Snapshot{
		Revision: revision,
		Tree:     tree,
		accounts: make(map[string]*AccountView),
		byID:     make(map[AccountID]*AccountView),
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
		s.accounts[sum] = view
	}
}

// HashKey returns the form in which settings hold a caller's or operator's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// AccountByKey finds the client account that owns a caller's key. The look-up
// is by the key's hash, so its timing tells nothing of the key.
func (s *Snapshot) AccountByKey(key string) (*AccountView, bool) {
	view, ok := s.accounts[HashKey(key)]
	return view, ok
}

// Account finds a client account by id.
func (s *Snapshot) Account(id AccountID) (*AccountView, bool) {
	view, ok := s.byID[id]
	return view, ok
}

// Permission is whether a client account may use a version.
type Permission int

// The permissions.
const (
	// Permitted versions may be used.
	Permitted Permission = iota
	// NotAllowed versions are not in the account's or its team's list.
	NotAllowed
	// VersionWithdrawn versions receive no new work from anyone.
	VersionWithdrawn
)

// Permission tells whether the account may use the version now.
func (s *Snapshot) Permission(account AccountID, ref VersionRef) Permission {
	view, ok := s.byID[account]
	if !ok || !view.usesModel(ref.Model) {
		return NotAllowed
	}
	return s.TeamPermission(view.TeamName, ref)
}

// TeamPermission tells whether the team may use the version now, whatever its
// client accounts' own lists say.
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

// usesModel reports whether the account's own list, if any, names the model.
func (v *AccountView) usesModel(model string) bool {
	return len(v.Account.Models) == 0 || slices.Contains(v.Account.Models, model)
}

// rolloutWithdrew reports whether a roll-out of the team withdrew the version.
func (s *Snapshot) rolloutWithdrew(team string, ref VersionRef) bool {
	for _, r := range s.Tree.Rollouts[team] {
		if r.Status == RolloutWithdrawn && r.Model == ref.Model && r.To == ref.Version {
			return true
		}
	}
	return false
}

// Version returns a version's costs; ok is false for an unknown one.
func (s *Snapshot) Version(ref VersionRef) (Version, bool) {
	version, ok := s.Tree.Models[ref.Model].Versions[ref.Version]
	return version, ok
}

// Cascade returns the cascade for a task, or the one named "default".
func (v *AccountView) Cascade(task string) (Cascade, bool) {
	if cascade, ok := v.Team.Cascades[task]; ok {
		return cascade, true
	}
	cascade, ok := v.Team.Cascades[DefaultTask]
	return cascade, ok
}

// DefaultTask is the cascade for requests that name no listed task.
const DefaultTask = "default"

// IsIdempotent tells whether a call of the service may run more than once.
func (svc Service) IsIdempotent(method, path string) bool {
	for _, op := range svc.Operations {
		if op.Method == method && strings.HasPrefix(path, op.PathPrefix) {
			return op.Idempotent
		}
	}
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}
