// Package platformcheck checks a configuration of the users' platform before operators send it, and tells in words how it differs
// from the one in force. All functions are pure: they work on typed documents and read neither files nor the network.
package platformcheck

import (
	"fmt"
	"time"

	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/routing"
	"github.com/basilrail/basilrail/internal/slowstart"
)

// Document is a configuration as it was written. Values that the product would bound or replace are kept.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   routing.Limits
	Accounts []Account
	// NeedsKeys is set if the document lists client accounts, also if the list is empty.
	NeedsKeys bool
	Bounds    Bounds
	Names     Names
}

// Route is a route with what its decoding loses.
type Route struct {
	routing.Route
	// KindText is the kind as it was written, and IsKnownKind whether the product knows it.
	KindText    string
	IsKnownKind bool
	// HasService is set if the first target is the route's only service and not part of a split.
	HasService bool
}

// Service is a service as it was written.
type Service struct {
	Name      string
	ColdStart time.Duration
	// ColdRate is in requests a second.
	ColdRate    float64
	EventTokens float64
	Models      []Model
}

// Model is a model that the engine of a service runs.
type Model struct {
	Name string
	// Cost is per 1,000 generated tokens.
	Cost float64
}

// Account is a client account and its keys.
type Account struct {
	routing.Account
	Keys []string
}

// Bounds are the values beyond which the product uses the bound instead.
type Bounds struct {
	Duration    time.Duration
	ColdStart   time.Duration
	EventTokens float64
}

// Settings is the part of the settings that limits of the configuration depend on.
type Settings struct {
	Retries retry.Limit
	Cold    slowstart.Bounds
}

// Field is a field of a document by the product's term.
type Field string

// The fields of a document.
const (
	FieldVersion       Field = "version"
	FieldRoutes        Field = "routes"
	FieldServices      Field = "services"
	FieldLimits        Field = "limits"
	FieldAccounts      Field = "accounts"
	FieldName          Field = "name"
	FieldHost          Field = "host"
	FieldPrefix        Field = "prefix"
	FieldKind          Field = "kind"
	FieldTimeout       Field = "timeout"
	FieldTargetLatency Field = "target_latency"
	FieldEventGap      Field = "max_event_gap"
	FieldPriority      Field = "priority"
	FieldModels        Field = "models"
	FieldService       Field = "service"
	FieldSplit         Field = "split"
	FieldWeight        Field = "weight"
	FieldMaxAttempts   Field = "max_attempts"
	FieldColdStart     Field = "cold_start"
	FieldColdRate      Field = "cold_rate"
	FieldEngineModels  Field = "engine.models"
	FieldEventTokens   Field = "event_tokens"
	FieldCost          Field = "cost"
	FieldHeaderBytes   Field = "max_header_bytes"
	FieldBodyBytes     Field = "max_body_bytes"
	FieldHeaderTimeout Field = "header_timeout"
	FieldIdleTimeout   Field = "idle_timeout"
	FieldKeys          Field = "keys"
)

// Fields lists all fields of a document.
var Fields = []Field{
	FieldVersion, FieldRoutes, FieldServices, FieldLimits, FieldAccounts,
	FieldName, FieldHost, FieldPrefix, FieldKind, FieldTimeout,
	FieldTargetLatency, FieldEventGap, FieldPriority, FieldModels, FieldService,
	FieldSplit, FieldWeight, FieldMaxAttempts, FieldColdStart, FieldColdRate,
	FieldEngineModels, FieldEventTokens, FieldCost, FieldHeaderBytes, FieldBodyBytes,
	FieldHeaderTimeout, FieldIdleTimeout, FieldKeys,
}

// Names are the names of fields in the document's file. A field without an entry has its own term.
type Names map[Field]string

// Of returns the name of a field.
func (n Names) Of(field Field) string {
	if name, ok := n[field]; ok {
		return name
	}
	return string(field)
}

// Item returns the path of an element of a list.
func (n Names) Item(list Field, i int) string { return fmt.Sprintf("%s[%d]", n.Of(list), i) }

// targetPlace returns the path of a target of a route.
func (d *Document) targetPlace(route, target int) string {
	place := d.Names.Item(FieldRoutes, route) + "."
	if !d.Routes[route].HasService {
		return place + d.Names.Item(FieldSplit, target)
	}
	if target == 0 {
		return place + d.Names.Of(FieldService)
	}
	return place + d.Names.Item(FieldSplit, target-1)
}

// serviceField returns the name of the field that names the service of a target.
func (d *Document) serviceField(route, target int) string {
	place := d.targetPlace(route, target)
	if d.Routes[route].HasService && target == 0 {
		return place
	}
	return place + "." + d.Names.Of(FieldService)
}
