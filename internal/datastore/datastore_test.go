package datastore

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/settings"
)

func TestSetStatusMovesServerBetweenVersions(t *testing.T) {
	v1 := settings.VersionRef{Model: "m", Version: "v1"}
	v2 := settings.VersionRef{Model: "m", Version: "v2"}
	tree := settings.Tree{Servers: map[string]settings.Server{"a": {}, "b": {}}}
	store := New()
	store.SetSettings(settings.Compile(1, tree))
	store.SetStatus("a", Status{Versions: []settings.VersionRef{v1, v1}})
	store.SetStatus("b", Status{Versions: []settings.VersionRef{v1}})
	before := store.Snapshot()
	listed := slices.Clone(before.ForVersion(v1))
	assert.Len(t, listed, 2, "a version listed twice counts once")

	store.SetStatus("a", Status{Versions: []settings.VersionRef{v2}})
	after := store.Snapshot()
	assert.Equal(t, listed, before.ForVersion(v1), "an old snapshot does not change")
	assert.Len(t, after.ForVersion(v1), 1)
	assert.Len(t, after.ForVersion(v2), 1)

	store.SetSettings(settings.Compile(2, tree))
	assert.Equal(t, after.ForVersion(v2), store.Snapshot().ForVersion(v2), "new settings keep the reported versions")
}

func TestChangedServerResetsCounters(t *testing.T) {
	store := New()
	store.SetSettings(settings.Compile(1, settings.Tree{Servers: map[string]settings.Server{"a": {FailureDomain: "x"}}}))
	store.Snapshot().Servers["a"].Begin(10)
	store.SetSettings(settings.Compile(2, settings.Tree{Servers: map[string]settings.Server{"a": {FailureDomain: "y"}}}))
	server := store.Snapshot().Servers["a"]
	assert.Equal(t, "y", server.Settings.FailureDomain)
	requests, _ := server.InFlight()
	assert.Zero(t, requests)
}

func TestSetStatusRecordsOwnTokens(t *testing.T) {
	store := New()
	store.SetSettings(settings.Compile(1, settings.Tree{Servers: map[string]settings.Server{"a": {}}}))
	server := store.Snapshot().Servers["a"]
	server.Begin(10)
	store.SetStatus("a", Status{RunningTokens: 30})
	server.End(10)
	assert.EqualValues(t, 10, server.Status().OwnTokensAtReport)
}
