package platformcheck

import (
	"math"
	"net/url"
	"strings"
	"time"
	"unicode"

	"github.com/basilrail/basilrail/internal/findings"
	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/routing"
)

// Report is the result of a check.
type Report struct {
	// Errors are values that the product rejects, can't decode or replaces.
	Errors findings.List `json:"errors"`
	// Warnings are entries that never match and limits that contradict each other.
	Warnings findings.List `json:"warnings"`
	// Changes are the differences from the configuration in force.
	Changes findings.List `json:"changes"`
}

// Check returns the findings of a document. Settings are nil if they are not known; the limits that depend on them
// are then not checked.
func Check(d *Document, settings *Settings) Report {
	c := checker{Document: d, settings: settings, byName: make(map[string]*Service, len(d.Services))}
	for i := range d.Services {
		c.byName[d.Services[i].Name] = &d.Services[i]
	}
	if d.Version == 0 {
		c.Warnings.Add(d.Names.Of(FieldVersion), "is zero or missing: only a fleet without a configuration takes it")
	}
	if len(d.Routes) == 0 {
		c.Warnings.Add(d.Names.Of(FieldRoutes), "is empty: all requests are refused")
	}
	c.checkRoutes()
	c.checkServices()
	c.checkAccounts()
	c.checkLimits()
	return c.Report
}

// checker holds the findings so far.
type checker struct {
	*Document
	settings *Settings
	byName   map[string]*Service
	Report
}

// item is an element of one of the document's lists.
type item struct {
	*checker
	place string
}

func (c *checker) item(list Field, i int) item { return item{c, c.Names.Item(list, i)} }

func (i item) at(field Field) string { return i.place + "." + i.Names.Of(field) }

func (i item) fail(field Field, format string, args ...any) {
	i.Errors.Add(i.at(field), format, args...)
}

func (i item) warn(field Field, format string, args ...any) {
	i.Warnings.Add(i.at(field), format, args...)
}

// checkTime reports a time that is negative or that the product bounds.
func (i item) checkTime(field Field, value, bound time.Duration) {
	if value < 0 {
		i.fail(field, "must not be negative, got %s", value)
	}
	if bound > 0 && value >= bound {
		i.fail(field, "is bounded at %s", bound)
	}
}

// checkNames reports empty names and those that an earlier entry of a list has.
func (c *checker) checkNames(list Field, names []string) {
	first := make(map[string]int)
	for i, name := range names {
		if name == "" {
			c.item(list, i).fail(FieldName, "is empty")
			continue
		}
		if earlier, ok := first[name]; ok {
			c.item(list, i).fail(FieldName, "%q is the name of %s as well", name, c.Names.Item(list, earlier))
			continue
		}
		first[name] = i
	}
}

func namesOf[T any](list []T, name func(*T) string) []string {
	names := make([]string, len(list))
	for i := range list {
		names[i] = name(&list[i])
	}
	return names
}

func (c *checker) checkRoutes() {
	c.checkNames(FieldRoutes, namesOf(c.Routes, func(r *Route) string { return r.Name }))
	matching := c.matching()
	for i := range c.Routes {
		r, at := &c.Routes[i], c.item(FieldRoutes, i)
		if other := matching[matchOf(r)]; other != i {
			c.Warnings.Add(at.place, "never matches: %s has the same host and prefix", c.Names.Item(FieldRoutes, other))
		}
		at.checkMatch(r)
		at.checkRouteTimes(r)
		at.checkAttempts(r)
		c.checkTargets(i)
		at.checkModels(r)
	}
}

// match is what a request is compared with.
type match struct{ host, prefix string }

func matchOf(r *Route) match { return match{r.Host, r.Prefix} }

// matching returns the routes that requests reach: the product keeps the last one with a host and prefix.
func (d *Document) matching() map[match]int {
	last := make(map[match]int)
	for i := range d.Routes {
		last[matchOf(&d.Routes[i])] = i
	}
	return last
}

func (i item) checkMatch(r *Route) {
	if !r.IsKnownKind {
		i.fail(FieldKind, "%q is unknown: the route is treated as one of kind %s", r.KindText, r.Kind)
	}
	if r.Host == "" {
		i.warn(FieldHost, "is empty: only requests without a host match")
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/"):
		i.fail(FieldPrefix, "%q does not begin with /", r.Prefix)
	case strings.ContainsAny(r.Prefix, "?#"), strings.ContainsFunc(r.Prefix, unicode.IsControl):
		i.fail(FieldPrefix, "%q contains a character that a path has only in encoded form", r.Prefix)
	default:
		if decoded, err := url.PathUnescape(r.Prefix); err == nil && decoded != r.Prefix {
			i.warn(FieldPrefix, "%q contains an encoded character, but the decoded path is compared: write %q", r.Prefix, decoded)
		}
	}
	if r.Priority < 0 {
		i.fail(FieldPriority, "must not be negative, got %d", r.Priority)
	}
}

func (i item) checkRouteTimes(r *Route) {
	i.checkTime(FieldTimeout, r.Timeout, i.Bounds.Duration)
	i.checkTime(FieldTargetLatency, r.TargetLatency, i.Bounds.Duration)
	i.checkTime(FieldEventGap, r.MaxEventGap, i.Bounds.Duration)
	if r.Timeout == 0 {
		i.warn(FieldTimeout, "is zero or missing: requests without a deadline of their own are not served")
	}
	if r.Timeout <= 0 {
		return
	}
	if r.TargetLatency > r.Timeout {
		i.warn(FieldTargetLatency, "%s is above the timeout of %s", r.TargetLatency, r.Timeout)
	}
	if r.MaxEventGap > r.Timeout {
		i.warn(FieldEventGap, "%s is above the timeout of %s", r.MaxEventGap, r.Timeout)
	}
}

func (i item) checkAttempts(r *Route) {
	switch {
	case r.MaxAttempts < 0:
		i.fail(FieldMaxAttempts, "must not be negative, got %d", r.MaxAttempts)
	case r.MaxAttempts == 0:
		i.warn(FieldMaxAttempts, "is zero or missing: a request is sent once")
	case r.MaxAttempts > 1 && r.IsKnownKind && r.Kind == routing.NonIdempotent:
		i.warn(FieldMaxAttempts, "is %d, but requests of kind %s run at most once: only attempts that did not run are repeated", r.MaxAttempts, r.Kind)
	}
	if r.MaxAttempts > retry.MaxAttempts {
		i.warn(FieldMaxAttempts, "%d is above the most attempts after which the product repeats a request, %d", r.MaxAttempts, retry.MaxAttempts)
	}
	if i.settings == nil {
		return
	}
	// A window that holds a single request allows the fewest retries.
	if allowed := i.settings.Retries.Ratio + i.settings.Retries.Slack; float64(r.MaxAttempts-1) > allowed {
		i.warn(FieldMaxAttempts, "%d is above what the retry budget of the settings allows a single request, %g", r.MaxAttempts, 1+math.Floor(allowed))
	}
}

func (c *checker) checkTargets(route int) {
	r, at := &c.Routes[route], c.item(FieldRoutes, route)
	if len(r.Targets) == 0 {
		at.fail(FieldService, "is empty, and there is no split")
		return
	}
	if r.HasService && len(r.Targets) > 1 {
		at.warn(FieldService, "is a target of weight 1 beside those of the split")
	}
	// The sum of weights is a float, which can't overflow as the product's sum does.
	total, seen := 0.0, make(map[string]bool)
	for i, target := range r.Targets {
		total += max(0, float64(target.Weight))
		c.checkTarget(route, i)
		if seen[target.Service] && target.Service != "" {
			c.Warnings.Add(c.serviceField(route, i), "%q is a target of the route already", target.Service)
		}
		seen[target.Service] = true
	}
	if total == 0 {
		at.fail(FieldSplit, "no target has weight: requests are refused")
	}
	if total > math.MaxInt32 {
		at.fail(FieldSplit, "the weights add up to more than %d", math.MaxInt32)
	}
}

func (c *checker) checkTarget(route, i int) {
	target := c.Routes[route].Targets[i]
	weight := c.targetPlace(route, i) + "." + c.Names.Of(FieldWeight)
	switch {
	case target.Weight < 0:
		c.Errors.Add(weight, "must not be negative, got %d", target.Weight)
	case target.Weight == 0:
		c.Warnings.Add(weight, "is zero: %q gets no request of the route", target.Service)
	}
	switch {
	case target.Service == "":
		c.Errors.Add(c.serviceField(route, i), "is empty")
	case c.byName[target.Service] == nil:
		c.Errors.Add(c.serviceField(route, i), "%q is not the name of a service", target.Service)
	}
}

// checkModels reports models of a route that the engines of its targets don't list. Services without an engine may run any.
func (i item) checkModels(r *Route) {
	listed := make(map[string]bool)
	for _, target := range r.Targets {
		if target.Weight <= 0 {
			continue
		}
		service := i.byName[target.Service]
		if service == nil || len(service.Models) == 0 {
			return
		}
		for _, m := range service.Models {
			listed[m.Name] = true
		}
	}
	for n, model := range r.Models {
		if !listed[model] {
			i.Warnings.Add(i.place+"."+i.Names.Item(FieldModels, n), "%q is not a model of a service of the route", model)
		}
	}
}

func (c *checker) checkServices() {
	c.checkNames(FieldServices, namesOf(c.Services, func(s *Service) string { return s.Name }))
	used := make(map[string]bool)
	for _, route := range c.matching() {
		for _, target := range c.Routes[route].Targets {
			used[target.Service] = used[target.Service] || target.Weight > 0
		}
	}
	for i := range c.Services {
		s, at := &c.Services[i], c.item(FieldServices, i)
		if s.Name != "" && !used[s.Name] {
			c.Warnings.Add(at.place, "no route leads to the service %q", s.Name)
		}
		at.checkEngine(s)
		at.checkCold(s)
	}
}

func (i item) checkEngine(s *Service) {
	if s.EventTokens < 0 {
		i.fail(FieldEventTokens, "must not be negative, got %g", s.EventTokens)
	}
	if bound := i.Bounds.EventTokens; bound > 0 && s.EventTokens > bound {
		i.fail(FieldEventTokens, "is bounded at %g", bound)
	}
	seen := make(map[string]bool)
	for n, m := range s.Models {
		place := i.place + "." + i.Names.Item(FieldEngineModels, n) + "."
		if m.Name == "" {
			i.Errors.Add(place+i.Names.Of(FieldName), "is empty")
		}
		if seen[m.Name] && m.Name != "" {
			i.Errors.Add(place+i.Names.Of(FieldName), "%q is listed twice", m.Name)
		}
		seen[m.Name] = true
		if m.Cost < 0 {
			i.Errors.Add(place+i.Names.Of(FieldCost), "must not be negative, got %g", m.Cost)
		}
	}
}

func (i item) checkCold(s *Service) {
	i.checkTime(FieldColdStart, s.ColdStart, i.Bounds.ColdStart)
	if s.ColdRate < 0 {
		i.fail(FieldColdRate, "must not be negative, got %g", s.ColdRate)
	}
	switch {
	case s.ColdRate > 0 && s.ColdStart == 0:
		i.warn(FieldColdStart, "is zero, but there is a rate for cold servers: a server that starts is not cold")
	case s.ColdStart > 0 && s.ColdRate == 0:
		i.warn(FieldColdRate, "is zero, but there is a time for cold servers: their requests are not limited")
	}
	if i.settings == nil || s.ColdRate <= 0 {
		return
	}
	if limit := i.settings.Cold.Limit(s.ColdRate); limit < 1 {
		i.warn(FieldColdRate, "a cold server gets at most %.3g requests in any second under the settings, less than one", limit)
	}
}

func (c *checker) checkAccounts() {
	c.checkNames(FieldAccounts, namesOf(c.Accounts, func(a *Account) string { return a.Name }))
	holders := make(map[string]int)
	for i := range c.Accounts {
		a, at := &c.Accounts[i], c.item(FieldAccounts, i)
		if a.HasPriority && a.Priority < 0 {
			at.fail(FieldPriority, "must not be negative, got %d", a.Priority)
		}
		if len(a.Keys) == 0 {
			at.warn(FieldKeys, "is empty: the account %q can't send requests", a.Name)
		}
		for n, key := range a.Keys {
			c.checkKey(i, n, key, holders)
		}
	}
	if c.NeedsKeys && len(c.Accounts) == 0 {
		c.Warnings.Add(c.Names.Of(FieldAccounts), "is empty: only routes that need no key are served")
	}
}

// checkKey reports a key that is empty or was seen before. Holders are the accounts of the keys seen so far.
func (c *checker) checkKey(account, n int, key string, holders map[string]int) {
	place := c.Names.Item(FieldAccounts, account) + "." + c.Names.Item(FieldKeys, n)
	other, isSeen := holders[key]
	switch {
	case key == "":
		c.Errors.Add(place, "is empty")
	case !isSeen:
		holders[key] = account
	case other == account:
		c.Warnings.Add(place, "%s is listed twice", masked(key))
	default:
		c.Errors.Add(place, "%s is a key of %s as well", masked(key), c.Names.Item(FieldAccounts, other))
	}
}

func (c *checker) checkLimits() {
	at, l := item{c, c.Names.Of(FieldLimits)}, c.Limits
	at.checkTime(FieldHeaderTimeout, l.HeaderTimeout, c.Bounds.Duration)
	at.checkTime(FieldIdleTimeout, l.IdleTimeout, c.Bounds.Duration)
	if l.MaxHeaderBytes < 0 {
		at.fail(FieldHeaderBytes, "must not be negative, got %d", l.MaxHeaderBytes)
	}
	if l.MaxBodyBytes < 0 {
		at.fail(FieldBodyBytes, "must not be negative, got %d", l.MaxBodyBytes)
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		at.warn(FieldHeaderTimeout, "%s is above the idle timeout of %s", l.HeaderTimeout, l.IdleTimeout)
	}
}
