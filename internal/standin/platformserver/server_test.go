package platformserver_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/standin/platformserver"
	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/tablestore/httptable"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
)

func put(key, value string) tablestore.Txn {
	return tablestore.Txn{
		Conditions: []tablestore.Condition{{Key: key}},
		Mutations:  []tablestore.Mutation{{Key: key, Value: []byte(value)}},
	}
}

func TestCommitReportsActualOutcome(t *testing.T) {
	tests := []struct {
		desc    string
		faults  memtable.Faults
		txn     tablestore.Txn
		want    tablestore.Outcome
		applied bool
	}{
		{desc: "committed", txn: put("a", "1"), want: tablestore.OutcomeCommitted, applied: true},
		{desc: "conflict", txn: put("taken", "1"), want: tablestore.OutcomeConflict},
		{desc: "store down", faults: memtable.Faults{Down: true}, txn: put("a", "1"), want: tablestore.OutcomeNotApplied},
		{desc: "response lost", faults: memtable.Faults{LoseAnswers: true}, txn: put("a", "1"), want: tablestore.OutcomeUnknown, applied: true},
		{desc: "write lost", faults: memtable.Faults{DropWrites: true}, txn: put("a", "1"), want: tablestore.OutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			standin := platformserver.New()
			server := httptest.NewServer(standin.Handler())
			defer server.Close()
			client := httptable.New(server.Client(), server.URL, 0)
			require.Equal(t, tablestore.OutcomeCommitted, client.Commit(t.Context(), put("taken", "x")).Outcome)
			standin.SetFaults(platformserver.Faults{Table: test.faults})

			got := client.Commit(t.Context(), test.txn)

			require.Equal(t, test.want, got.Outcome)
			rows := standin.Table().Rows("a")
			require.Equal(t, test.applied, len(rows) == 1)
			if test.want == tablestore.OutcomeConflict {
				require.Equal(t, "taken", got.Conflicts[0].Key)
			}
		})
	}
}

func TestRefusedConnectionIsNotApplied(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	client := httptable.New(server.Client(), server.URL, 0)
	require.Equal(t, tablestore.OutcomeNotApplied, client.Commit(t.Context(), put("a", "1")).Outcome)
	_, err := client.Get(t.Context(), "a")
	require.ErrorIs(t, err, tablestore.ErrUnavailable)
}

func TestTimeoutAfterSendIsUnknown(t *testing.T) {
	standin := platformserver.New()
	standin.SetFaults(platformserver.Faults{Table: memtable.Faults{Delay: time.Minute}})
	server := httptest.NewServer(standin.Handler())
	defer server.Close()
	client := httptable.New(server.Client(), server.URL, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.Equal(t, tablestore.OutcomeUnknown, client.Commit(ctx, put("a", "1")).Outcome)
}

func TestScanAndMemberList(t *testing.T) {
	standin := platformserver.New()
	server := httptest.NewServer(standin.Handler())
	defer server.Close()
	client := httptable.New(server.Client(), server.URL, 0)
	for _, key := range []string{"p/1", "p/2", "q/1"} {
		require.Equal(t, tablestore.OutcomeCommitted, client.Commit(t.Context(), put(key, key)).Outcome)
	}
	rows, err := client.Scan(t.Context(), "p/", "p/1", 5)
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.Equal(t, "p/2", string(rows[0].Value))

	member := tablestore.Member{ID: "a/b", Kind: tablestore.MemberEntry, Address: "127.0.0.1:1", FailureDomain: "hall"}
	require.NoError(t, client.Register(t.Context(), member))
	list, err := client.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, []tablestore.Member{member}, list)
	standin.SetFaults(platformserver.Faults{Members: platformserver.MemberFaults{Lag: time.Minute}})
	list, err = client.List(t.Context())
	require.NoError(t, err)
	require.Empty(t, list, "a lagging list does not contain the new member yet")
}
