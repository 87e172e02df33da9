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

// authenticate finds the operator by the bearer key.
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

// refuseKey refuses a key that is not known here. An instance that may have
// missed a change can't tell that the key is wrong.
func (a *api) refuseKey(w http.ResponseWriter, r *http.Request) {
	if err := a.stale(); err != nil {
		err.Write(w)
		return
	}
	a.Log.Log(events.OperatorRefused, events.Fields{Path: r.URL.Path, Reason: "unknown key"})
	apierror.New(http.StatusUnauthorized, apierror.CodeUnauthenticated, "the operator's key is missing or unknown").Write(w)
}

// stale refuses while this instance can't tell whether its settings are current.
func (a *api) stale() *apierror.Error {
	ok, reason, retryAfter := a.Settings.Vouch()
	if ok {
		return nil
	}
	return apierror.New(http.StatusServiceUnavailable, apierror.CodeSettingsStale, "%s", reason).Retry(retryAfter)
}

// operatorByHash compares with every operator's hash, always all of them, so
// that the time taken does not tell which one matched.
func (a *api) operatorByHash(snapshot *settings.Snapshot, sum string) (settings.Operator, bool) {
	operators := snapshot.Tree.Fleet.Operators
	if snapshot.Revision == 0 && a.BootstrapKeySHA256 != "" && a.stale() == nil {
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

// mayRead reports whether the operator may read at a path.
func mayRead(operator settings.Operator, path string) bool {
	return settings.Covers(operator.Subtree, path)
}

// mayEdit refuses unless the operator may change every one of the paths.
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

// stillAllowed checks the operator anew on the settings that a commit builds on.
func (a *api) stillAllowed(operator settings.Operator, docs []settings.Document) func(*settings.Snapshot) error {
	return func(current *settings.Snapshot) error {
		now, known := a.operatorByHash(current, operator.KeySHA256)
		if !known {
			return forbidden("the operator's key is no longer valid")
		}
		return mayEdit(now, docs)
	}
}
