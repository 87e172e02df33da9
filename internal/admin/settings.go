package admin

import (
	"net/http"

	"github.com/basilrail/basilrail/internal/adminapi"
	"github.com/basilrail/basilrail/internal/settings"
)

// readable returns the documents of the requested subtree that the operator may
// read, and the revision of the settings.
func (a *api) readable(r *http.Request) ([]settings.Document, uint64) {
	subtree := r.URL.Query().Get(adminapi.QuerySubtree)
	if subtree == "" {
		subtree = "/"
	}
	operator := operatorOf(r)
	all, revision := a.Settings.Documents(subtree)
	var docs []settings.Document
	for _, doc := range all {
		if mayRead(operator, doc.Path) {
			docs = append(docs, doc)
		}
	}
	return docs, revision
}

func (a *api) getSettings(w http.ResponseWriter, r *http.Request) {
	docs, revision := a.readable(r)
	answer := adminapi.Documents{Revision: revision, Documents: []adminapi.Document{}}
	for _, doc := range docs {
		answer.Documents = append(answer.Documents, toAPI(doc))
	}
	respond(w, answer)
}

func (a *api) getTree(w http.ResponseWriter, r *http.Request) {
	docs, revision := a.readable(r)
	answer := adminapi.Documents{Revision: revision, Documents: []adminapi.Document{}}
	for _, doc := range docs {
		answer.Documents = append(answer.Documents, adminapi.Document{Path: doc.Path, Revision: doc.Revision, Bytes: len(doc.Body)})
	}
	respond(w, answer)
}

// readDocuments decodes a request body of documents. It fails unless the operator
// may read the paths of all of them.
func readDocuments(r *http.Request) ([]settings.Document, error) {
	var body adminapi.Documents
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	operator := operatorOf(r)
	for _, doc := range body.Documents {
		if !mayRead(operator, doc.Path) {
			return nil, forbidden("operator %q may not read %s", operator.Name, doc.Path)
		}
	}
	return fromAPI(body.Documents), nil
}

func (a *api) postDiff(w http.ResponseWriter, r *http.Request) {
	docs, err := readDocuments(r)
	if err != nil {
		respondError(w, err)
		return
	}
	current, revision := a.readable(r)
	respond(w, adminapi.Diffs{Revision: revision, Diffs: settings.Diff(matching(current, docs), docs)})
}

// matching returns the documents whose paths also occur in the other list.
func matching(docs, other []settings.Document) []settings.Document {
	paths := make(map[string]bool)
	for _, doc := range other {
		paths[doc.Path] = true
	}
	var kept []settings.Document
	for _, doc := range docs {
		if paths[doc.Path] {
			kept = append(kept, doc)
		}
	}
	return kept
}

func (a *api) postCheck(w http.ResponseWriter, r *http.Request) {
	docs, err := readDocuments(r)
	if err != nil {
		respondError(w, err)
		return
	}
	respond(w, adminapi.CheckResult{Findings: a.Settings.Check(docs)})
}

func (a *api) postApply(w http.ResponseWriter, r *http.Request) {
	var body adminapi.Change
	if err := decodeBody(r, &body); err != nil {
		respondError(w, err)
		return
	}
	answer, err := a.commit(r, body.ID, fromAPI(body.Documents))
	if err != nil {
		respondError(w, err)
		return
	}
	respond(w, answer)
}

func (a *api) getStatus(w http.ResponseWriter, r *http.Request) {
	var answer adminapi.Status
	for _, instance := range a.Settings.Status(r.Context()) {
		answer.Revision = max(answer.Revision, instance.Revision)
		answer.Instances = append(answer.Instances, adminapi.InstanceStatus(instance))
	}
	respond(w, answer)
}
