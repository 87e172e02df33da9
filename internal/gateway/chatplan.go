package gateway

import (
	"net/http"
	"time"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/cascade"
	"github.com/basilrail/basilrail/internal/session"
	"github.com/basilrail/basilrail/internal/settings"
)

// classify reads the request's body, task and session.
func (g *Gateway) classify(r *request) (*chat, *apierror.Error) {
	req, faults := parseChatRequest(r.body)
	if len(faults) > 0 {
		refusal := apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, "the request body has %d faults", len(faults))
		refusal.Findings = faults
		return nil, refusal
	}
	c := &chat{request: r, req: req, task: r.http.Header.Get(HeaderTask)}
	if c.task == "" {
		c.task = settings.DefaultTask
	}
	r.record.Task = c.task
	return c, c.openSession()
}

// openSession verifies the caller's token, or begins a session.
func (c *chat) openSession() *apierror.Error {
	token := c.http.Header.Get(HeaderSessionToken)
	if token == "" {
		c.session = session.Session{ID: c.gateway.newSessionID(), Account: c.view.ID, Pins: map[string]string{}}
		return nil
	}
	keys := c.gateway.Data.Snapshot().Settings.Tree.Fleet.TokenKeys
	opened, err := c.gateway.Tokens.Verify(token, c.view.ID, keys)
	if err != nil {
		return apierror.New(http.StatusUnauthorized, apierror.CodeSessionInvalid, "%v", err)
	}
	if opened.Pins == nil {
		opened.Pins = map[string]string{}
	}
	c.session = opened
	return nil
}

// versionOf returns the version of a model that the session uses. The version
// is pinned when the session's first answer of that model is taken.
func (c *chat) versionOf(model string) (settings.VersionRef, bool) {
	if version, ok := c.session.Pins[model]; ok {
		return settings.VersionRef{Model: model, Version: version}, true
	}
	choice, ok := c.gateway.Versions.Choose(c.view.ID, c.session.ID, model)
	return choice.Ref, ok
}

// makePlan orders the versions to try.
func (c *chat) makePlan() *apierror.Error {
	snap := c.gateway.Data.Snapshot().Settings
	tasks, candidates, refusal := c.candidates()
	if refusal != nil {
		return refusal
	}
	if len(candidates) == 0 {
		return apierror.New(http.StatusForbidden, apierror.CodeVersionForbidden, "no version of %q may be used by this client account", c.req.model)
	}
	input, output := c.req.estimate()
	c.target = c.qualityTarget(tasks)
	plan := c.gateway.Planner.Plan(time.Now(), snap, cascade.Query{
		Account:      c.view.ID,
		Task:         c.task,
		Versions:     candidates,
		InputTokens:  input,
		OutputTokens: output,
		Target:       c.target,
		Remaining:    time.Until(c.deadline),
	}, c.gateway.random())
	c.plan = plan.Steps
	for _, v := range plan.Verdicts {
		c.record.Plan = append(c.record.Plan, PlanVerdict{Version: v.Ref.String(), Why: v.Why})
	}
	return nil
}

// qualityTarget is the task's own target, or the team's.
func (c *chat) qualityTarget(tasks settings.Cascade) float64 {
	if tasks.QualityTarget > 0 {
		return tasks.QualityTarget
	}
	return c.view.Team.QualityTarget
}

// candidates lists the versions that may answer: the one the caller names, or
// those of the task's cascade. A pinned version that may no longer be used ends
// the session; it is never exchanged silently.
func (c *chat) candidates() (settings.Cascade, []settings.VersionRef, *apierror.Error) {
	if c.req.model != autoModel {
		ref, refusal := c.named()
		if refusal != nil {
			return settings.Cascade{}, nil, refusal
		}
		return settings.Cascade{Models: []string{ref.Model}}, []settings.VersionRef{ref}, nil
	}
	tasks, ok := c.view.Cascade(c.task)
	if !ok {
		return tasks, nil, apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, "the team has no cascade for task %q", c.task)
	}
	var refs []settings.VersionRef
	for _, model := range tasks.Models {
		ref, ok := c.versionOf(model)
		if !ok {
			continue
		}
		if refusal := c.checkPin(ref); refusal != nil {
			return tasks, nil, refusal
		}
		if c.permit(ref) == nil {
			refs = append(refs, ref)
		}
	}
	return tasks, refs, nil
}

// named resolves the model that the caller asked for: "model" or "model@version".
func (c *chat) named() (settings.VersionRef, *apierror.Error) {
	ref, exact := settings.ParseVersionRef(c.req.model)
	if !exact {
		var ok bool
		if ref, ok = c.versionOf(c.req.model); !ok {
			return ref, c.noVersion()
		}
	}
	if pin, ok := c.session.Pins[ref.Model]; ok && pin != ref.Version {
		return ref, apierror.New(http.StatusConflict, apierror.CodeSessionInvalid, "the session keeps version %s of model %s", pin, ref.Model)
	}
	return ref, c.permit(ref)
}

// noVersion is the refusal where no version of the model that the caller asked
// for may take a new session.
func (c *chat) noVersion() *apierror.Error {
	if _, ok := c.view.Team.Models[c.req.model]; !ok {
		return apierror.New(http.StatusForbidden, apierror.CodeVersionForbidden, "the client account may not use model %q", c.req.model)
	}
	return apierror.New(http.StatusServiceUnavailable, apierror.CodeVersionWithdrawn,
		"no version of model %q takes new sessions now", c.req.model).Retry(noServerRetry)
}

// permit checks that the session may use a version now.
func (c *chat) permit(ref settings.VersionRef) *apierror.Error {
	return (&work{r: c.request, version: ref}).permit()
}

// checkPin refuses a session whose pinned version may no longer be used.
func (c *chat) checkPin(ref settings.VersionRef) *apierror.Error {
	if _, pinned := c.session.Pins[ref.Model]; !pinned {
		return nil
	}
	return c.permit(ref)
}
