package admin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/adminapi"
	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/configsync"
	"github.com/basilrail/basilrail/internal/findings"
	"github.com/basilrail/basilrail/internal/settings"
)

// storeRetryAfter is the retry delay sent with errors of the table service.
const storeRetryAfter = 5 * time.Second

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected; it can't be reported.
	_ = json.NewEncoder(w).Encode(body)
}

// decodeBody decodes a request body and rejects unknown fields.
func decodeBody(r *http.Request, body any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(body)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return apierror.New(http.StatusRequestEntityTooLarge, apierror.CodeTooLarge,
			"the body may have at most %d bytes", tooLarge.Limit)
	default:
		return apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, "the body is not valid: %v", err)
	}
}

// respondError writes an error of this package or of configsync as the response.
func respondError(w http.ResponseWriter, err error) {
	var conflict *configsync.ConflictError
	if errors.As(err, &conflict) {
		respondConflict(w, conflict)
		return
	}
	asAPIError(err).Write(w)
}

func asAPIError(err error) *apierror.Error {
	var refused *apierror.Error
	var list findings.List
	var unknown *configsync.OutcomeUnknownError
	switch {
	case errors.As(err, &refused):
		return refused
	case errors.As(err, &list):
		return findingsError(list)
	case errors.As(err, &unknown):
		return apierror.New(http.StatusGatewayTimeout, apierror.CodeOutcomeUnknown,
			"%v; send it again under the same id", err).WithExecutionStatus(apierror.MayHaveRun).WithRetryAfter(storeRetryAfter)
	case errors.Is(err, configsync.ErrChangeIDReused):
		return apierror.New(http.StatusUnprocessableEntity, apierror.CodeKeyReused, "%v", err)
	case errors.Is(err, configsync.ErrUnavailable):
		return apierror.New(http.StatusServiceUnavailable, apierror.CodeStoreUnavailable, "%v", err).WithRetryAfter(storeRetryAfter)
	default:
		return apierror.New(http.StatusInternalServerError, apierror.CodeInternal, "%v", err)
	}
}

func findingsError(list findings.List) *apierror.Error {
	e := apierror.New(http.StatusUnprocessableEntity, apierror.CodeBadRequest, "the settings would not be valid")
	e.Findings = list
	return e
}

func respondConflict(w http.ResponseWriter, conflict *configsync.ConflictError) {
	body := adminapi.ErrorBody{
		Error: apierror.New(http.StatusConflict, apierror.CodeConflict, "%v", conflict),
	}
	for _, c := range conflict.Conflicts {
		body.Conflicts = append(body.Conflicts, adminapi.Conflict{Current: toAPI(c.Current), Diff: c.Diff})
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(body)
}

func toAPI(doc settings.Document) adminapi.Document {
	return adminapi.Document{Path: doc.Path, Body: string(doc.Body), Revision: doc.Revision, Bytes: len(doc.Body)}
}

func fromAPI(docs []adminapi.Document) []settings.Document {
	out := make([]settings.Document, len(docs))
	for i, doc := range docs {
		out[i] = settings.Document{Path: doc.Path, Body: []byte(doc.Body), Revision: doc.Revision}
	}
	return out
}
