package admin

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/settings"
)

type operatorKey struct{}

// authenticate identifies the operator by the bearer key and adds the operator
// to the request's context.
func (a *api) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		operator, known := a.operatorByHash(a.Settings.Snapshot(), settings.HashKey(key))
		if !found || !known {
			a.refuseKey(w, r)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator)))
	})
}

// refuseKey rejects a request whose key is missing or matches no operator. An
// instance that may have missed a settings change can't rule out that the key is
// valid, so it reports stale settings instead of an unknown key.
func (a *api) refuseKey(w http.ResponseWriter, r *http.Request) {
	if err := a.checkCurrent(); err != nil {
		err.Write(w)
		return
	}
	a.Log.Log(events.OperatorRefused, events.Fields{Path: r.URL.Path, Reason: "unknown key"})
	apierror.New(http.StatusUnauthorized, apierror.CodeUnauthenticated, "the operator's key is missing or unknown").Write(w)
}

// checkCurrent returns an error while this instance can't confirm that its
// settings are current.
func (a *api) checkCurrent() *apierror.Error {
	ok, reason, retryAfter := a.Settings.Confirmed()
	if ok {
		return nil
	}
	return apierror.New(http.StatusServiceUnavailable, apierror.CodeSettingsStale, "%s", reason).WithRetryAfter(retryAfter)
}

// operatorByHash finds the operator whose key has the given hash. It always
// compares with the hashes of all operators, so that the time taken does not
// reveal which one matched.
func (a *api) operatorByHash(snapshot *settings.Snapshot, sum string) (settings.Operator, bool) {
	operators := snapshot.Tree.Fleet.Operators
	if snapshot.Revision == 0 && a.BootstrapKeySHA256 != "" && a.checkCurrent() == nil {
		operators = []settings.Operator{{
			Name: "bootstrap", KeySHA256: a.BootstrapKeySHA256, Role: settings.RoleEditor, Subtree: "/",
		}}
	}
	var match settings.Operator
	known := false
	for _, operator := range operators {
		if subtle.ConstantTimeCompare([]byte(operator.KeySHA256), []byte(sum)) == 1 {
			match, known = operator, true
		}
	}
	return match, known
}

func operatorOf(r *http.Request) settings.Operator {
	operator, _ := r.Context().Value(operatorKey{}).(settings.Operator)
	return operator
}

// mayRead reports whether the operator may read the settings at a path.
func mayRead(operator settings.Operator, path string) bool {
	return settings.Covers(operator.Subtree, path)
}

// mayEdit returns an error unless the operator may change all the documents.
func mayEdit(operator settings.Operator, docs []settings.Document) error {
	if operator.Role != settings.RoleEditor {
		return forbidden("operator %q may only read", operator.Name)
	}
	for _, doc := range docs {
		if !settings.Covers(operator.Subtree, doc.Path) {
			return forbidden("operator %q may not change %s", operator.Name, doc.Path)
		}
	}
	return nil
}

func forbidden(format string, args ...any) *apierror.Error {
	return apierror.New(http.StatusForbidden, apierror.CodeForbidden, format, args...)
}

func notFound(what string) *apierror.Error {
	return apierror.New(http.StatusNotFound, apierror.CodeNotFound, "there is no such %s", what)
}

// stillAllowed returns a function that checks the operator's permissions again on
// the settings on which a commit is based.
func (a *api) stillAllowed(operator settings.Operator, docs []settings.Document) func(*settings.Snapshot) error {
	return func(current *settings.Snapshot) error {
		latest, known := a.operatorByHash(current, operator.KeySHA256)
		if !known {
			return forbidden("the operator's key is no longer valid")
		}
		return mayEdit(latest, docs)
	}
}
