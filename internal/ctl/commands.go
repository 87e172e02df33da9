package ctl

import (
	"bytes"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/adminapi"
	"github.com/basilrail/basilrail/internal/settings"
)

type getCmd struct {
	Path string `arg:"" optional:"" default:"/" help:"Path; what stands below it is included."`
	To   string `env:"BASILRAIL_GET_TO" type:"path" placeholder:"DIR" help:"Write the documents as files below this directory, with the revisions that a later apply builds on."`
}

// Run prints or writes documents.
func (c *getCmd) Run(r *run) error {
	docs, err := r.documents(adminapi.PathSettings, c.Path)
	if err != nil {
		return err
	}
	if c.To != "" {
		if err := writeDocuments(c.To, docs.Documents); err != nil {
			return err
		}
		fmt.Fprintf(r.warnings, "%d documents of revision %d are in %s\n", len(docs.Documents), docs.Revision, c.To)
		return nil
	}
	return r.print(docs, func(w io.Writer) { writeDocumentsText(w, docs.Documents) })
}

// documents reads documents at and below a path.
func (r *run) documents(api, path string) (adminapi.Documents, error) {
	var docs adminapi.Documents
	err := r.client.get(r.ctx, api, url.Values{adminapi.QuerySubtree: {path}}, &docs)
	return docs, err
}

type treeCmd struct {
	Path string `arg:"" optional:"" default:"/" help:"Path; what stands below it is included."`
}

// Run lists paths.
func (c *treeCmd) Run(r *run) error {
	tree, err := r.documents(adminapi.PathTree, c.Path)
	if err != nil {
		return err
	}
	return r.print(tree, func(w io.Writer) { writeTree(w, tree) })
}

// load reads the documents in a directory.
func load(dir string) ([]settings.Document, error) {
	docs, list := settings.Load(os.DirFS(dir))
	if err := list.Err(); err != nil {
		return nil, err
	}
	if len(docs) == 0 {
		return nil, errors.Errorf("%s contains no settings documents", dir)
	}
	return docs, nil
}

type diffCmd struct {
	Dir string `arg:"" type:"existingdir" help:"Directory of settings."`
}

// Run shows a difference.
func (c *diffCmd) Run(r *run) error {
	docs, err := load(c.Dir)
	if err != nil {
		return err
	}
	current, err := r.documents(adminapi.PathSettings, "/")
	if err != nil {
		return err
	}
	diffs := adminapi.Diffs{Revision: current.Revision, Diffs: settings.Diff(matching(current, docs), docs)}
	return r.print(diffs, func(w io.Writer) { writeDiffs(w, diffs.Diffs) })
}

// matching returns the current documents that have the paths of others.
func matching(current adminapi.Documents, others []settings.Document) []settings.Document {
	byPath := index(current)
	var docs []settings.Document
	for _, other := range others {
		if doc, ok := byPath[other.Path]; ok {
			docs = append(docs, settings.Document{Path: doc.Path, Body: []byte(doc.Body), Revision: doc.Revision})
		}
	}
	return docs
}

func index(docs adminapi.Documents) map[string]adminapi.Document {
	byPath := make(map[string]adminapi.Document, len(docs.Documents))
	for _, doc := range docs.Documents {
		byPath[doc.Path] = doc
	}
	return byPath
}

type checkCmd struct {
	Dir string `arg:"" type:"existingdir" help:"Directory that holds the whole tree."`
}

// Run checks a directory without an instance.
func (c *checkCmd) Run(r *run) error {
	docs, err := load(c.Dir)
	if err != nil {
		return err
	}
	_, list := settings.Parse(docs)
	text := func(w io.Writer) {
		if len(list) == 0 {
			fmt.Fprintf(w, "%d documents, no findings\n", len(docs))
		}
	}
	if err := r.print(adminapi.CheckResult{Findings: list}, text); err != nil {
		return err
	}
	return list.Err()
}

// changeFlags are the flags of every command that changes settings.
type changeFlags struct {
	ChangeID string `env:"BASILRAIL_CHANGE_ID" help:"Id of the change, to settle one whose outcome is not known; a new one by default."`
}

func (f changeFlags) id() string {
	if f.ChangeID != "" {
		return f.ChangeID
	}
	return uuid.NewString()
}

type applyCmd struct {
	changeFlags
	Dir    string `arg:"" type:"existingdir" help:"Directory of settings, the whole tree or a part of it."`
	Prune  string `env:"BASILRAIL_APPLY_PRUNE" placeholder:"PATH" help:"Delete the documents in effect at or below this path that the directory lacks."`
	DryRun bool   `env:"BASILRAIL_APPLY_DRY_RUN" help:"Check and show the difference, but change nothing."`
}

// Run commits a directory.
func (c *applyCmd) Run(r *run) error {
	docs, err := load(c.Dir)
	if err != nil {
		return err
	}
	base, err := readBase(c.Dir)
	if err != nil {
		return err
	}
	current, err := r.documents(adminapi.PathSettings, "/")
	if err != nil {
		return err
	}
	docs = append(docs, pruned(current, docs, c.Prune)...)
	changedDocs := changed(current, base, docs)
	if c.DryRun {
		return c.dryRun(r, current, changedDocs)
	}
	result, err := c.commit(r, current, changedDocs)
	if err != nil {
		return err
	}
	recordRevisions(r, c.Dir, base, current, docs, changedDocs, result)
	return r.print(result, func(w io.Writer) { writeApplied(w, result) })
}

func (c *applyCmd) commit(r *run, current adminapi.Documents, changedDocs []adminapi.Document) (adminapi.ApplyResult, error) {
	if len(changedDocs) == 0 {
		return adminapi.ApplyResult{Revision: current.Revision, Unchanged: true}, nil
	}
	change := adminapi.Change{ID: c.id(), Documents: changedDocs}
	return r.client.change(r.ctx, adminapi.PathApply, change.ID, change)
}

// dryRun checks the change on an instance and prints the difference.
func (c *applyCmd) dryRun(r *run, current adminapi.Documents, changedDocs []adminapi.Document) error {
	var result adminapi.CheckResult
	if err := r.client.post(r.ctx, adminapi.PathCheck, adminapi.Documents{Documents: changedDocs}, &result); err != nil {
		return err
	}
	if err := result.Findings.Err(); err != nil {
		return err
	}
	docs := fromAPI(changedDocs)
	diffs := adminapi.Diffs{Revision: current.Revision, Diffs: settings.Diff(matching(current, docs), docs)}
	return r.print(diffs, func(w io.Writer) { writeDiffs(w, diffs.Diffs) })
}

func fromAPI(docs []adminapi.Document) []settings.Document {
	out := make([]settings.Document, len(docs))
	for i, doc := range docs {
		out[i] = settings.Document{Path: doc.Path, Body: []byte(doc.Body), Revision: doc.Revision}
	}
	return out
}

// pruned returns deletions of the current documents at and below a path that are
// not in docs.
func pruned(current adminapi.Documents, docs []settings.Document, below string) []settings.Document {
	if below == "" {
		return nil
	}
	present := make(map[string]bool)
	for _, doc := range docs {
		present[doc.Path] = true
	}
	var deletions []settings.Document
	for _, doc := range current.Documents {
		if settings.Covers(below, doc.Path) && !present[doc.Path] {
			deletions = append(deletions, settings.Document{Path: doc.Path})
		}
	}
	return deletions
}

// changed returns the documents that differ from the current ones, each with the
// revision at which it was read into the directory.
func changed(current adminapi.Documents, base baseFile, docs []settings.Document) []adminapi.Document {
	byPath := index(current)
	var changedDocs []adminapi.Document
	for _, doc := range docs {
		existing, exists := byPath[doc.Path]
		// An instance that lags behind the directory's base revision may return an
		// outdated document.
		lags := base.Revisions[doc.Path] > current.Revision
		if exists && !lags && bytes.Equal([]byte(existing.Body), doc.Body) {
			continue
		}
		changedDocs = append(changedDocs, adminapi.Document{Path: doc.Path, Body: string(doc.Body), Revision: base.Revisions[doc.Path]})
	}
	return changedDocs
}

// recordRevisions writes the documents' revisions to the directory's base file
// after an apply.
func recordRevisions(r *run, dir string, base baseFile, current adminapi.Documents, docs []settings.Document, changedDocs []adminapi.Document, result adminapi.ApplyResult) {
	byPath := index(current)
	for _, doc := range docs {
		base.Revisions[doc.Path] = byPath[doc.Path].Revision
	}
	for _, doc := range changedDocs {
		base.Revisions[doc.Path] = result.Revision
		if doc.Body == "" {
			delete(base.Revisions, doc.Path)
		}
	}
	if err := base.write(dir); err != nil {
		fmt.Fprintf(r.warnings, "cannot record the base revisions in %s; the next apply may report conflicts: %v\n", dir, err)
	}
}

type statusCmd struct{}

// Run shows the instances.
func (c *statusCmd) Run(r *run) error {
	var status adminapi.Status
	if err := r.client.get(r.ctx, adminapi.PathStatus, nil, &status); err != nil {
		return err
	}
	return r.print(status, func(w io.Writer) { writeStatus(w, status) })
}

type rolloutCmd struct {
	Show     rolloutShowCmd     `cmd:"" help:"List rollouts."`
	Pause    rolloutPauseCmd    `cmd:"" help:"Keep a rollout at its stage."`
	Resume   rolloutResumeCmd   `cmd:"" help:"Let a paused rollout go on."`
	Withdraw rolloutWithdrawCmd `cmd:"" help:"End a rollout and withdraw its new version from the team."`
}

type rolloutShowCmd struct{}

// Run lists rollouts.
func (c *rolloutShowCmd) Run(r *run) error {
	var list adminapi.Rollouts
	if err := r.client.get(r.ctx, adminapi.PathRollouts, nil, &list); err != nil {
		return err
	}
	return r.print(list, func(w io.Writer) { writeRollouts(w, list) })
}

// rolloutArgs are the rollout to act on and the reason for the action.
type rolloutArgs struct {
	changeFlags
	Rollout string `arg:"" help:"Rollout as team/name."`
	Reason  string `env:"BASILRAIL_ROLLOUT_REASON" help:"Why, for other operators."`
}

func (a rolloutArgs) act(r *run, action adminapi.Action) error {
	team, name, ok := strings.Cut(a.Rollout, "/")
	if !ok {
		return errors.Errorf("%q is not of the form team/name", a.Rollout)
	}
	path := adminapi.PathRollouts + "/" + url.PathEscape(team) + "/" + url.PathEscape(name) + "/" + string(action)
	body := adminapi.RolloutRequest{ChangeID: a.id(), Reason: a.Reason}
	return r.change(path, body.ChangeID, body)
}

// change sends a change and prints its result.
func (r *run) change(path, changeID string, body any) error {
	result, err := r.client.change(r.ctx, path, changeID, body)
	if err != nil {
		return err
	}
	return r.print(result, func(w io.Writer) { writeApplied(w, result) })
}

type rolloutPauseCmd struct{ rolloutArgs }

// Run pauses a rollout.
func (c *rolloutPauseCmd) Run(r *run) error { return c.act(r, adminapi.ActionPause) }

type rolloutResumeCmd struct{ rolloutArgs }

// Run resumes a rollout.
func (c *rolloutResumeCmd) Run(r *run) error { return c.act(r, adminapi.ActionResume) }

type rolloutWithdrawCmd struct{ rolloutArgs }

// Run withdraws a rollout's new version.
func (c *rolloutWithdrawCmd) Run(r *run) error { return c.act(r, adminapi.ActionWithdraw) }

type withdrawCmd struct {
	changeFlags
	Version string `arg:"" help:"Version as model@version."`
}

// Run withdraws a version everywhere.
func (c *withdrawCmd) Run(r *run) error {
	body := adminapi.WithdrawRequest{ChangeID: c.id(), Version: c.Version}
	return r.change(adminapi.PathWithdraw, body.ChangeID, body)
}

type explainCmd struct {
	RequestID string   `arg:"" help:"Request id, as answered to the caller."`
	Logs      []string `type:"existingfile" placeholder:"FILE" help:"Tell it from these logs of instances, - for standard input; needs no entry instance."`
}

// Run explains a request.
func (c *explainCmd) Run(r *run) error {
	if len(c.Logs) > 0 {
		return c.fromLogs(r)
	}
	var explanation adminapi.Explanation
	if err := r.client.get(r.ctx, adminapi.PathRequests+"/"+url.PathEscape(c.RequestID), nil, &explanation); err != nil {
		return err
	}
	return r.print(explanation, func(w io.Writer) { writeExplanation(w, explanation) })
}

type billsCmd struct {
	Account string `env:"BASILRAIL_BILLS_ACCOUNT" placeholder:"TEAM/NAME" help:"Client account; all by default."`
	After   string `env:"BASILRAIL_BILLS_AFTER" help:"Continue after an earlier page."`
	Limit   int    `env:"BASILRAIL_BILLS_LIMIT" default:"100" help:"Largest number of bills."`
}

// Run lists bills.
func (c *billsCmd) Run(r *run) error {
	query := url.Values{
		adminapi.QueryAccount: {c.Account},
		adminapi.QueryAfter:   {c.After},
		adminapi.QueryLimit:   {strconv.Itoa(c.Limit)},
	}
	var bills adminapi.Bills
	if err := r.client.get(r.ctx, adminapi.PathBills, query, &bills); err != nil {
		return err
	}
	return r.print(bills, func(w io.Writer) { writeBills(w, bills) })
}
