// Package httptable is a client of the platform's table service and
// membership list over HTTP with JSON bodies.
//
// A write that fails before it gets a connection is not applied. A write that
// fails later has an unknown outcome, unless the response status proves that it
// was not applied.
package httptable

import "github.com/basilrail/basilrail/internal/tablestore"

// Paths of the platform's HTTP API.
const (
	PathCommit  = "/table/commit"
	PathGet     = "/table/get"
	PathScan    = "/table/scan"
	PathMembers = "/members"
)

// GetRequest is the request body of a read by key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the request body of a read by prefix.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit,omitempty"`
}

// RowsResponse is the response body of both reads.
type RowsResponse struct {
	Rows []tablestore.Row `json:"rows"`
}

// MembersResponse is the response body of a read of the membership list.
type MembersResponse struct {
	Members []tablestore.Member `json:"members"`
}
