package admin

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/adminapi"
	"github.com/basilrail/basilrail/internal/configsync"
	"github.com/basilrail/basilrail/internal/settings"
)

// maxEditAttempts limits how often one edit is planned and committed when other
// changes conflict with it.
const maxEditAttempts = 5

// edit sets fields of one document; an empty path means that there is nothing to
// change.
type edit struct {
	path   string
	fields []field
}

// field is one scalar field of a document and its new value.
type field struct {
	keys  []string
	value any
}

// edit plans and commits an edit and writes the response. An edit sets single
// fields and does not overwrite concurrent changes of other operators, so after a
// conflict it is planned again on the latest settings.
func (a *api) edit(w http.ResponseWriter, r *http.Request, changeID string, plan func(*settings.Snapshot) (edit, error)) {
	var conflict *configsync.ConflictError
	var answer adminapi.ApplyResult
	var err error
	for range maxEditAttempts {
		answer, err = a.editOnce(r, changeID, plan)
		if !errors.As(err, &conflict) {
			break
		}
	}
	if err != nil {
		respondError(w, err)
		return
	}
	respond(w, answer)
}

func (a *api) editOnce(r *http.Request, changeID string, plan func(*settings.Snapshot) (edit, error)) (adminapi.ApplyResult, error) {
	if err := a.checkCurrent(); err != nil {
		return adminapi.ApplyResult{}, err
	}
	planned, err := a.plan(r, plan)
	if err != nil {
		return adminapi.ApplyResult{}, err
	}
	if planned.path == "" {
		return adminapi.ApplyResult{ChangeID: changeID, Revision: a.Settings.Snapshot().Revision, Unchanged: true}, nil
	}
	doc, found := a.Settings.Document(planned.path)
	if !found {
		return adminapi.ApplyResult{}, notFound("document")
	}
	for _, f := range planned.fields {
		doc.Body, err = settings.SetField(doc.Body, f.value, f.keys...)
		if err != nil {
			return adminapi.ApplyResult{}, err
		}
	}
	return a.commit(r, changeID, []settings.Document{doc})
}

// plan plans an edit on the current settings. A refusal must not be based on
// outdated settings, so if planning fails, plan reads the latest settings and plans
// again.
func (a *api) plan(r *http.Request, plan func(*settings.Snapshot) (edit, error)) (edit, error) {
	planned, err := plan(a.Settings.Snapshot())
	if err == nil {
		return planned, nil
	}
	if err := a.Settings.Refresh(r.Context()); err != nil {
		return edit{}, errors.Wrap(configsync.ErrUnavailable, err.Error())
	}
	return plan(a.Settings.Snapshot())
}

// commit commits documents on behalf of the operator.
func (a *api) commit(r *http.Request, changeID string, docs []settings.Document) (adminapi.ApplyResult, error) {
	operator := operatorOf(r)
	if err := mayEdit(operator, docs); err != nil {
		return adminapi.ApplyResult{}, err
	}
	change := settings.Change{ID: changeID, Author: operator.Name, Documents: docs}
	result, err := a.Settings.ApplyIf(r.Context(), change, a.stillAllowed(operator, docs))
	return adminapi.ApplyResult{
		ChangeID:  changeID,
		Revision:  result.Revision,
		Replayed:  result.Replayed,
		Unchanged: result.Unchanged,
	}, err
}
