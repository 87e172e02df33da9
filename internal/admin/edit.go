package admin

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/adminapi"
	"github.com/basilrail/basilrail/internal/configsync"
	"github.com/basilrail/basilrail/internal/settings"
)

// maxEditAttempts bounds the edits of one document that races with others.
const maxEditAttempts = 5

// edit sets fields of one document; an empty path means that nothing is to be done.
type edit struct {
	path   string
	fields []field
}

// field is one scalar field of a document and its new value.
type field struct {
	keys  []string
	value any
}

// edit plans and commits an edit, and answers. An edit of single fields does not
// overwrite what another operator wrote meanwhile, so after a conflict it is
// planned anew on the settings as they are then.
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
		fail(w, err)
		return
	}
	respond(w, answer)
}

func (a *api) editOnce(r *http.Request, changeID string, plan func(*settings.Snapshot) (edit, error)) (adminapi.ApplyResult, error) {
	if err := a.stale(); err != nil {
		return adminapi.ApplyResult{}, err
	}
	todo, err := a.plan(r, plan)
	if err != nil {
		return adminapi.ApplyResult{}, err
	}
	if todo.path == "" {
		return adminapi.ApplyResult{ChangeID: changeID, Revision: a.Settings.Snapshot().Revision, Unchanged: true}, nil
	}
	doc, found := a.Settings.Document(todo.path)
	if !found {
		return adminapi.ApplyResult{}, notFound("document")
	}
	for _, f := range todo.fields {
		doc.Body, err = settings.SetField(doc.Body, f.value, f.keys...)
		if err != nil {
			return adminapi.ApplyResult{}, err
		}
	}
	return a.commit(r, changeID, []settings.Document{doc})
}

// plan plans an edit on the settings in force. A refusal must not come from
// settings that lag, so before one the newest are read.
func (a *api) plan(r *http.Request, plan func(*settings.Snapshot) (edit, error)) (edit, error) {
	todo, err := plan(a.Settings.Snapshot())
	if err == nil {
		return todo, nil
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
