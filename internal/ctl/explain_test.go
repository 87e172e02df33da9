package ctl

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/adminapi"
)

func TestExplanationAsText(t *testing.T) {
	record := `{"served_by":"entry-1","request_id":"r-1","state":"refused","duration_ns":2000000,
		"plan":[{"version":"writer@v1","why":"serves: trusted"}],
		"attempts":[{"id":"r-1.1","target":"writer@v1","server":"engine-1","outcome":"refused","queued_ns":1000,"duration_ns":5000,
			"candidates":[{"Server":"engine-2","Why":"leaving","Load":0}]}],
		"refusal":{"code":"no_backend_server","message":"none","ran":"not_run"}}`
	tests := []struct {
		desc   string
		record string
		want   string
	}{
		{desc: "record", record: record, want: `request r-1 of client account t/a, served by entry-1
refused after 2ms: no_backend_server, none (not_run)
plan: writer@v1 serves: trusted
attempt r-1.1 of writer@v1 at engine-1: refused, queued 1µs, took 5µs
  engine-2: leaving, load 0
no bill
SPAN  TOOK  STARTED
`},
		{desc: "record of another version", record: `{"later":true}`, want: "client account t/a\n{\n  \"later\": true\n}\n"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var out bytes.Buffer
			writeExplanation(&out, adminapi.Explanation{Account: "t/a", Record: json.RawMessage(tt.record)})
			assert.Equal(t, tt.want, out.String())
		})
	}
}
