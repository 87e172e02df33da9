package admin

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/basilrail/basilrail/internal/adminapi"
	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/settings"
)

// The default and the maximum number of bills on a page.
const (
	defaultBillsPage = 100
	maxBillsPage     = 1000
)

// accountPath returns the settings path of a client account, or "/" for no account.
func accountPath(id settings.AccountID) string {
	team, name, ok := strings.Cut(string(id), "/")
	if !ok {
		return "/"
	}
	return settings.AccountPath(team, name)
}

func (a *api) getRequest(w http.ResponseWriter, r *http.Request) {
	if a.Explainer == nil {
		notFound("request").Write(w)
		return
	}
	account, record, ok := a.Explainer.Explain(r.Context(), chi.URLParam(r, "id"))
	// A request of another team gets the same response as a request without a record.
	if !ok || !mayRead(operatorOf(r), accountPath(account)) {
		notFound("request").Write(w)
		return
	}
	respond(w, adminapi.Explanation{Account: account, Record: record})
}

func (a *api) getBills(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	account := settings.AccountID(query.Get(adminapi.QueryAccount))
	limit, err := billsLimit(query.Get(adminapi.QueryLimit))
	switch {
	case a.Bills == nil:
		notFound("list of bills").Write(w)
		return
	case err != nil:
		respondError(w, err)
		return
	case !mayRead(operatorOf(r), accountPath(account)):
		forbidden("operator %q may not read the bills of %q", operatorOf(r).Name, account).Write(w)
		return
	}
	bills, next, err := a.Bills.List(r.Context(), account, query.Get(adminapi.QueryAfter), limit)
	if err != nil {
		apierror.New(http.StatusServiceUnavailable, apierror.CodeStoreUnavailable, "%v", err).WithRetryAfter(storeRetryAfter).Write(w)
		return
	}
	answer := adminapi.Bills{Bills: bills, Next: next}
	if bills == nil {
		answer.Bills = []billing.Record{}
	}
	for _, bill := range bills {
		answer.Total += bill.Total
	}
	respond(w, answer)
}

func billsLimit(text string) (int, error) {
	if text == "" {
		return defaultBillsPage, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxBillsPage {
		return 0, apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, "limit must be from 1 to %d", maxBillsPage)
	}
	return limit, nil
}
