package gateway

import (
	"net/http"
	"time"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/cascade"
	"github.com/basilrail/basilrail/internal/session"
	"github.com/basilrail/basilrail/internal/settings"
)

// classify parses the request's body, task and session.
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

// openSession verifies the caller's session token, or starts a new session.
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
// is pinned when the session's first answer from that model is delivered.
func (c *chat) versionOf(model string) (settings.VersionRef, bool) {
	if version, ok := c.session.Pins[model]; ok {
		return settings.VersionRef{Model: model, Version: version}, true
	}
	choice, ok := c.gateway.Versions.Choose(c.view.ID, c.session.ID, model)
	return choice.Ref, ok
}

// makePlan selects and orders the versions to try, and records the verdicts.
func (c *chat) makePlan() *apierror.Error {
	snap := c.gateway.Data.Snapshot().Settings
	taskCascade, candidates, refusal := c.candidates()
	if refusal != nil {
		return refusal
	}
	if len(candidates) == 0 {
		return apierror.New(http.StatusForbidden, apierror.CodeVersionForbidden, "no version of %q may be used by this client account", c.req.model)
	}
	input, output := c.req.estimate()
	c.target = c.qualityTarget(taskCascade)
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
		c.record.Plan = append(c.record.Plan, PlanVerdict{Version: v.Ref.String(), Reason: v.Reason})
	}
	return nil
}

// qualityTarget returns the task's own target, or the team's.
func (c *chat) qualityTarget(taskCascade settings.Cascade) float64 {
	if taskCascade.QualityTarget > 0 {
		return taskCascade.QualityTarget
	}
	return c.view.Team.QualityTarget
}

// candidates lists the versions that may answer: the version that the caller
// names, or those of the task's cascade. If a pinned version may no longer be
// used, the request is refused; the version is never replaced silently.
func (c *chat) candidates() (settings.Cascade, []settings.VersionRef, *apierror.Error) {
	if c.req.model != autoModel {
		ref, refusal := c.resolveNamed()
		if refusal != nil {
			return settings.Cascade{}, nil, refusal
		}
		return settings.Cascade{Models: []string{ref.Model}}, []settings.VersionRef{ref}, nil
	}
	taskCascade, ok := c.view.Cascade(c.task)
	if !ok {
		return taskCascade, nil, apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, "the team has no cascade for task %q", c.task)
	}
	var refs []settings.VersionRef
	for _, model := range taskCascade.Models {
		ref, ok := c.versionOf(model)
		if !ok {
			continue
		}
		if refusal := c.checkPin(ref); refusal != nil {
			return taskCascade, nil, refusal
		}
		if c.permit(ref) == nil {
			refs = append(refs, ref)
		}
	}
	return taskCascade, refs, nil
}

// resolveNamed resolves the model that the caller asked for: "model" or "model@version".
func (c *chat) resolveNamed() (settings.VersionRef, *apierror.Error) {
	ref, exact := settings.ParseVersionRef(c.req.model)
	if !exact {
		var ok bool
		if ref, ok = c.versionOf(c.req.model); !ok {
			return ref, c.noVersionRefusal()
		}
	}
	if pin, ok := c.session.Pins[ref.Model]; ok && pin != ref.Version {
		return ref, apierror.New(http.StatusConflict, apierror.CodeSessionInvalid, "the session keeps version %s of model %s", pin, ref.Model)
	}
	return ref, c.permit(ref)
}

// noVersionRefusal returns the refusal for a requested model of which no version
// accepts new sessions.
func (c *chat) noVersionRefusal() *apierror.Error {
	if _, ok := c.view.Team.Models[c.req.model]; !ok {
		return apierror.New(http.StatusForbidden, apierror.CodeVersionForbidden, "the client account may not use model %q", c.req.model)
	}
	return apierror.New(http.StatusServiceUnavailable, apierror.CodeVersionWithdrawn,
		"no version of model %q takes new sessions now", c.req.model).WithRetryAfter(noServerRetryAfter)
}

// permit checks that the client account may use a version now.
func (c *chat) permit(ref settings.VersionRef) *apierror.Error {
	return (&work{r: c.request, version: ref}).permit()
}

// checkPin returns a refusal if the version is pinned and may no longer be used.
func (c *chat) checkPin(ref settings.VersionRef) *apierror.Error {
	if _, pinned := c.session.Pins[ref.Model]; !pinned {
		return nil
	}
	return c.permit(ref)
}
