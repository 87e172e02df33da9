package admin

import (
	"maps"
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"

	"github.com/basilrail/basilrail/internal/adminapi"
	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/settings"
)

func (a *api) getRollouts(w http.ResponseWriter, r *http.Request) {
	answer := adminapi.Rollouts{Rollouts: []adminapi.Rollout{}}
	operator := operatorOf(r)
	byTeam := a.Settings.Snapshot().Tree.Rollouts
	for _, team := range slices.Sorted(maps.Keys(byTeam)) {
		for _, name := range slices.Sorted(maps.Keys(byTeam[team])) {
			if mayRead(operator, settings.RolloutPath(team, name)) {
				answer.Rollouts = append(answer.Rollouts, a.describe(team, name, byTeam[team][name]))
			}
		}
	}
	respond(w, answer)
}

func (a *api) describe(team, name string, rollout settings.Rollout) adminapi.Rollout {
	described := adminapi.Rollout{
		Team:         team,
		Name:         name,
		Model:        rollout.Model,
		From:         rollout.From,
		To:           rollout.To,
		Status:       rollout.Status,
		Stage:        rollout.Stage,
		Stages:       len(rollout.Stages),
		StagePercent: rollout.Stages[rollout.Stage].Percent,
		Reason:       rollout.Reason,
	}
	if a.Rollouts != nil {
		evidence := a.Rollouts.Evidence(settings.VersionRef{Model: rollout.Model, Version: rollout.To})
		described.Evidence = &evidence
	}
	return described
}

// transition is the status that an action sets and the statuses that permit it.
type transition struct {
	from []settings.RolloutStatus
	to   settings.RolloutStatus
}

var transitions = map[adminapi.Action]transition{
	adminapi.ActionPause:  {from: []settings.RolloutStatus{settings.RolloutRunning}, to: settings.RolloutPaused},
	adminapi.ActionResume: {from: []settings.RolloutStatus{settings.RolloutPaused}, to: settings.RolloutRunning},
	adminapi.ActionWithdraw: {
		from: []settings.RolloutStatus{settings.RolloutRunning, settings.RolloutPaused, settings.RolloutComplete},
		to:   settings.RolloutWithdrawn,
	},
}

func (a *api) postRollout(w http.ResponseWriter, r *http.Request) {
	var body adminapi.RolloutRequest
	if err := decodeBody(r, &body); err != nil {
		respondError(w, err)
		return
	}
	team, name := chi.URLParam(r, "team"), chi.URLParam(r, "name")
	action := adminapi.Action(chi.URLParam(r, "action"))
	if !mayRead(operatorOf(r), settings.RolloutPath(team, name)) {
		notFound("roll-out").Write(w)
		return
	}
	a.edit(w, r, body.ChangeID, func(current *settings.Snapshot) (edit, error) {
		return planRollout(current, team, name, action, body.Reason)
	})
}

// planRollout plans the change of a rollout's status by an action.
func planRollout(current *settings.Snapshot, team, name string, action adminapi.Action, reason string) (edit, error) {
	rollout, found := current.Tree.Rollouts[team][name]
	step, known := transitions[action]
	switch {
	case !found:
		return edit{}, notFound("roll-out")
	case !known:
		return edit{}, notFound("action")
	case rollout.Status == step.to:
		return edit{}, nil
	case !slices.Contains(step.from, rollout.Status):
		return edit{}, apierror.New(http.StatusConflict, apierror.CodeConflict, "a roll-out that is %s can't %s", rollout.Status, action)
	}
	return edit{path: settings.RolloutPath(team, name), fields: []field{
		{keys: []string{"status"}, value: string(step.to)},
		{keys: []string{"reason"}, value: reason},
	}}, nil
}

func (a *api) postWithdraw(w http.ResponseWriter, r *http.Request) {
	var body adminapi.WithdrawRequest
	if err := decodeBody(r, &body); err != nil {
		respondError(w, err)
		return
	}
	ref, ok := settings.ParseVersionRef(body.Version)
	if !ok {
		apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, "%q is not of the form model@version", body.Version).Write(w)
		return
	}
	a.edit(w, r, body.ChangeID, func(current *settings.Snapshot) (edit, error) {
		return planWithdrawal(current, ref)
	})
}

// planWithdrawal plans the withdrawal of a version from every team.
func planWithdrawal(current *settings.Snapshot, ref settings.VersionRef) (edit, error) {
	version, known := current.Version(ref)
	switch {
	case !known:
		return edit{}, notFound("version")
	case version.Withdrawn:
		return edit{}, nil
	}
	return edit{path: settings.ModelPath(ref.Model), fields: []field{
		{keys: []string{"versions", ref.Version, "withdrawn"}, value: true},
	}}, nil
}
