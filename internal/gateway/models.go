package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/statechart"
)

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem is one version that the client account may use.
type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// models serves GET /v1/models.
func (g *Gateway) models(_ context.Context, r *request) *apierror.Error {
	r.fire(statechart.RequestClassify)
	list := modelList{Object: "list", Data: []modelItem{}}
	snap := g.Data.Snapshot().Settings
	for _, model := range slices.Sorted(maps.Keys(r.view.Team.Models)) {
		for _, version := range r.view.Team.Models[model].Allowed {
			ref := settings.VersionRef{Model: model, Version: version}
			if snap.Permission(r.view.ID, ref) == settings.Permitted {
				list.Data = append(list.Data, modelItem{ID: ref.String(), Object: "model"})
			}
		}
	}
	r.w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(r.w).Encode(list); err != nil {
		return apierror.New(http.StatusInternalServerError, apierror.CodeInternal, "the list could not be written")
	}
	return nil
}

func (g *Gateway) logBillDelayed(r *request, err error) {
	g.Log.Log(events.RequestBillDelayed, events.Fields{RequestID: r.id, Account: r.view.ID, Err: err})
}

func (g *Gateway) logTokenFailed(r *request, err error) {
	g.Log.Log(events.RequestTokenFailed, events.Fields{RequestID: r.id, Account: r.view.ID, Err: err})
}
