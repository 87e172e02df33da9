package platformcheck

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/basilrail/basilrail/internal/findings"
	"github.com/basilrail/basilrail/internal/routing"
)

// shownKeyBytes and shownKeyFraction bound the part of a key that is shown: enough to recognise it, too little to use it.
const (
	shownKeyBytes    = 4
	shownKeyFraction = 4
)

// masked returns a key in a form that may be shown.
func masked(key string) string {
	return fmt.Sprintf("the key %q (%d bytes)", key[:min(shownKeyBytes, len(key)/shownKeyFraction)]+"...", len(key))
}

// Compare adds to a report what differs from the document in force, and an error if the version is not higher: the product ignores
// such a document.
func (r *Report) Compare(inForce, next *Document) {
	if next.Version <= inForce.Version {
		r.Errors.Add(next.Names.Of(FieldVersion), "%d is not higher than that in force, %d", next.Version, inForce.Version)
	}
	c := comparison{next: next, old: inForce}
	c.compareRoutes()
	c.compareServices()
	c.compareAccounts()
	c.compareLimits()
	r.Changes = append(r.Changes, c.changes...)
}

// comparison holds the changes so far.
type comparison struct {
	old, next *Document
	changes   findings.List
}

// value is a field of an entry before and after.
type value struct {
	field     Field
	old, next any
}

func (c *comparison) compareValues(place string, values []value) {
	for _, v := range values {
		if !reflect.DeepEqual(v.old, v.next) {
			c.changes.Add(place+"."+c.next.Names.Of(v.field), "changes from %v to %v", v.old, v.next)
		}
	}
}

// compareLists reports entries of a list that were added or removed, and calls both for the others. Entries are paired by id.
func compareLists[T any](c *comparison, list Field, old, next []T, id func(*T) string, both func(place string, old, next *T)) {
	before := make(map[string]*T, len(old))
	for i := range old {
		before[id(&old[i])] = &old[i]
	}
	kept := make(map[string]bool)
	for i := range next {
		name, place := id(&next[i]), c.next.Names.Item(list, i)
		kept[name] = true
		if previous, ok := before[name]; ok {
			both(place, previous, &next[i])
		} else {
			c.changes.Add(place, "%s is added", name)
		}
	}
	for i := range old {
		if name := id(&old[i]); !kept[name] {
			c.changes.Add(c.next.Names.Of(list), "%s is removed", name)
		}
	}
}

func (c *comparison) compareRoutes() {
	compareLists(c, FieldRoutes, c.old.Routes, c.next.Routes, routeID, func(place string, old, next *Route) {
		if from, to := targetsText(old.Targets), targetsText(next.Targets); from != to {
			c.changes.Add(place, "%s moves from %s to %s", routeID(next), from, to)
		}
		c.compareValues(place, []value{
			{FieldHost, old.Host, next.Host},
			{FieldPrefix, old.Prefix, next.Prefix},
			{FieldKind, old.KindText, next.KindText},
			{FieldTimeout, old.Timeout, next.Timeout},
			{FieldTargetLatency, old.TargetLatency, next.TargetLatency},
			{FieldEventGap, old.MaxEventGap, next.MaxEventGap},
			{FieldPriority, old.Priority, next.Priority},
			{FieldModels, listText(old.Models), listText(next.Models)},
			{FieldMaxAttempts, old.MaxAttempts, next.MaxAttempts},
		})
		c.compareFlag(place, old.Anonymous, next.Anonymous, "needs no key any more", "needs a key from now on")
		c.compareFlag(place, old.CarriesPrompt, next.CarriesPrompt, "carries prompts from now on", "carries no prompts any more")
		c.compareFlag(place, old.Resumable, next.Resumable, "is resumable from now on", "is not resumable any more")
	})
}

func (c *comparison) compareFlag(place string, old, next bool, on, off string) {
	switch {
	case next && !old:
		c.changes.Add(place, "%s", on)
	case old && !next:
		c.changes.Add(place, "%s", off)
	}
}

// routeID names a route in words, and pairs those of two documents: by name, or by host and prefix without one.
func routeID(r *Route) string {
	if r.Name == "" {
		return fmt.Sprintf("the route of %s%s", r.Host, r.Prefix)
	}
	return fmt.Sprintf("the route %q", r.Name)
}

// targetsText returns the services of a route with the weights of a split.
func targetsText(targets []routing.Target) string {
	switch len(targets) {
	case 0:
		return "no service"
	case 1:
		return fmt.Sprintf("%q", targets[0].Service)
	}
	parts := make([]string, len(targets))
	for i, target := range targets {
		parts[i] = fmt.Sprintf("%q (weight %d)", target.Service, target.Weight)
	}
	return strings.Join(parts, ", ")
}

func listText(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return "[" + strings.Join(names, ", ") + "]"
}

func (c *comparison) compareServices() {
	id := func(s *Service) string { return fmt.Sprintf("the service %q", s.Name) }
	compareLists(c, FieldServices, c.old.Services, c.next.Services, id, func(place string, old, next *Service) {
		c.compareValues(place, []value{
			{FieldColdStart, old.ColdStart, next.ColdStart},
			{FieldColdRate, old.ColdRate, next.ColdRate},
			{FieldEventTokens, old.EventTokens, next.EventTokens},
			{FieldEngineModels, modelsText(old.Models), modelsText(next.Models)},
		})
	})
}

func modelsText(models []Model) string {
	parts := make([]string, len(models))
	for i, m := range models {
		parts[i] = fmt.Sprintf("%s at %g", m.Name, m.Cost)
	}
	return listText(parts)
}

func (c *comparison) compareAccounts() {
	c.compareFlag(c.next.Names.Of(FieldAccounts), c.old.NeedsKeys, c.next.NeedsKeys, "requests need a key from now on", "requests need no key any more")
	compareLists(c, FieldAccounts, c.old.Accounts, c.next.Accounts, accountID, func(place string, old, next *Account) {
		c.compareValues(place, []value{{FieldPriority, priorityText(old), priorityText(next)}})
	})
	c.compareKeys()
}

func accountID(a *Account) string { return fmt.Sprintf("the account %q", a.Name) }

func priorityText(a *Account) string {
	if !a.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(a.Priority)
}

// compareKeys reports keys that are added, removed or held by another account. Keys are never shown in full.
func (c *comparison) compareKeys() {
	before, after := holdersOf(c.old), holdersOf(c.next)
	place := c.next.Names.Of(FieldAccounts)
	for _, key := range slices.Sorted(maps.Keys(after)) {
		switch holder, ok := before[key]; {
		case !ok:
			c.changes.Add(place, "%s is added to %s", masked(key), after[key])
		case holder != after[key]:
			c.changes.Add(place, "%s moves from %s to %s", masked(key), holder, after[key])
		}
	}
	for _, key := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[key]; !ok {
			c.changes.Add(place, "%s of %s is removed", masked(key), before[key])
		}
	}
}

func holdersOf(d *Document) map[string]string {
	holders := make(map[string]string)
	for i := range d.Accounts {
		for _, key := range d.Accounts[i].Keys {
			holders[key] = accountID(&d.Accounts[i])
		}
	}
	return holders
}

func (c *comparison) compareLimits() {
	old, next := c.old.Limits, c.next.Limits
	c.compareValues(c.next.Names.Of(FieldLimits), []value{
		{FieldHeaderBytes, old.MaxHeaderBytes, next.MaxHeaderBytes},
		{FieldBodyBytes, old.MaxBodyBytes, next.MaxBodyBytes},
		{FieldHeaderTimeout, old.HeaderTimeout, next.HeaderTimeout},
		{FieldIdleTimeout, old.IdleTimeout, next.IdleTimeout},
	})
}
