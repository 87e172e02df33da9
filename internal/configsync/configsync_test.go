package configsync

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
)

// maxPropagationTime is the time within which a change must be in effect on all
// instances.
const maxPropagationTime = 6 * time.Second

var background = context.Background()

func TestChangeTakesEffectEverywhereInTime(t *testing.T) {
	testCases := []struct {
		desc    string
		prepare func(f *fleet)
	}{
		{desc: "no faults", prepare: func(*fleet) {}},
		{desc: "no instance reaches a peer", prepare: func(f *fleet) {
			for i := range f.instances {
				f.network.SetPartitioned(instanceID(i), true)
			}
		}},
		{desc: "only one instance reaches the store", prepare: func(f *fleet) {
			for _, n := range f.instances[1:] {
				n.table.partitioned.Store(true)
			}
		}},
		{desc: "slow store", prepare: func(f *fleet) { f.table.SetFaults(memtable.Faults{Delay: time.Second}) }},
	}
	for _, tc := range testCases {
		t.Run(tc.desc, func(t *testing.T) {
			inBubble(t, 9, func(t *testing.T, f *fleet) {
				tc.prepare(f)
				time.Sleep(time.Minute)
				result, err := f.instances[0].Apply(background, f.change(modelDoc("m", 7, 1)))
				require.NoError(t, err)
				took := f.waitFor(t, result.Revision, f.instances...)
				assert.LessOrEqual(t, took, maxPropagationTime)
				for _, n := range f.instances {
					ok, reason, _ := n.Confirmed()
					assert.True(t, ok, reason)
				}
			})
		})
	}
}

func TestOperatorsRace(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *fleet) {
		_, err := f.instances[0].Apply(background, f.change(modelDoc("m", 1, 1)))
		require.NoError(t, err)
		_, err = f.instances[1].Apply(background, f.change(modelDoc("m", 2, 1)))
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Len(t, conflict.Conflicts, 1)
		assert.Equal(t, "@@ -1,3 +1,3 @@\n versions:\n   v1:\n-    input_cost: 1\n+    input_cost: 2\n", conflict.Conflicts[0].Diff.Text)
		assert.Equal(t, uint64(2), conflict.Conflicts[0].Current.Revision)

		result, err := f.instances[2].Apply(background, f.change(modelDoc("n", 3, 1)))
		require.NoError(t, err, "another document is no conflict")
		assert.Equal(t, uint64(3), result.Revision)
	})
}

func TestBasedOn(t *testing.T) {
	testCases := []struct {
		desc            string
		present, readAt uint64
		want            bool
	}{
		{desc: "new and absent", want: true},
		{desc: "new, but another operator created it", present: 4},
		{desc: "deleted since it was read", readAt: 4},
		{desc: "unchanged", present: 4, readAt: 4, want: true},
		{desc: "unchanged since a later revision", present: 4, readAt: 6, want: true},
		{desc: "changed since it was read", present: 5, readAt: 4},
		{desc: "read at a revision that does not exist yet", present: 4, readAt: 8},
	}
	for _, tc := range testCases {
		t.Run(tc.desc, func(t *testing.T) {
			assert.Equal(t, tc.want, basedOn(settings.Document{Revision: tc.present}, settings.Document{Revision: tc.readAt}, 7))
		})
	}
}

func TestOperatorsRaceAtTheSameInstant(t *testing.T) {
	inBubble(t, 9, func(t *testing.T, f *fleet) {
		f.table.SetFaults(memtable.Faults{Delay: 10 * time.Millisecond})
		errs := make(chan error, len(f.instances))
		for i, n := range f.instances {
			change := f.change(modelDoc("m", i+1, 1))
			go func() {
				_, err := n.Apply(background, change)
				errs <- err
			}()
		}
		won := 0
		for range f.instances {
			err := <-errs
			var conflict *ConflictError
			if err == nil {
				won++
			} else {
				require.ErrorAs(t, err, &conflict)
			}
		}
		assert.Equal(t, 1, won)
	})
}

func TestFrozenInstanceLosesTheRace(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *fleet) {
		f.instances[0].table.freeze = time.Minute
		frozen := make(chan error, 1)
		late, early := f.change(modelDoc("m", 1, 1)), f.change(modelDoc("m", 2, 1))
		go func() {
			_, err := f.instances[0].Apply(background, late)
			frozen <- err
		}()
		time.Sleep(time.Second)
		result, err := f.instances[1].Apply(background, early)
		require.NoError(t, err)
		var conflict *ConflictError
		require.ErrorAs(t, <-frozen, &conflict)
		for _, n := range f.instances {
			assert.Equal(t, result.Revision, n.Snapshot().Revision)
			assert.Equal(t, settings.MicroUnits(2), n.Snapshot().Tree.Models["m"].Versions["v1"].InputCost)
		}
	})
}

func TestLostReplyIsResolvedByTheChangeID(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *fleet) {
		f.table.SetFaults(memtable.Faults{LoseAnswers: true})
		change := f.change(modelDoc("m", 5, 1))
		result, err := f.instances[0].Apply(background, change)
		require.NoError(t, err)
		assert.Equal(t, ApplyResult{ChangeID: change.ID, Revision: 2, Replayed: true}, result)

		resent, err := f.instances[1].Apply(background, change)
		require.NoError(t, err)
		assert.Equal(t, result, resent, "a resent change returns the first result")

		change.Documents[0].Body = modelDoc("m", 6, 1).Body
		_, err = f.instances[1].Apply(background, change)
		require.ErrorIs(t, err, ErrChangeIDReused)
	})
}

func TestWriteWithoutResultIsUnknown(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		f.table.SetFaults(memtable.Faults{DropWrites: true})
		_, err := f.instances[0].Apply(background, f.change(modelDoc("m", 5, 1)))
		var unknown *OutcomeUnknownError
		require.ErrorAs(t, err, &unknown)
	})
}

func TestInstanceCrashesBetweenCommitAndReply(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *fleet) {
		change := f.change(modelDoc("m", 5, 1))
		ctx, cancel := context.WithCancel(background)
		f.table.OnCommit(func(tablestore.Txn) {
			f.table.SetFaults(memtable.Faults{LoseAnswers: true})
			f.setPartitioned(0, true)
			cancel()
			f.instances[0].stop()
		})
		f.table.SetFaults(memtable.Faults{LoseAnswers: true})
		_, err := f.instances[0].Apply(ctx, change)
		var unknown *OutcomeUnknownError
		require.ErrorAs(t, err, &unknown)

		f.table.OnCommit(nil)
		result, err := f.instances[1].Apply(background, change)
		require.NoError(t, err)
		assert.Equal(t, ApplyResult{ChangeID: change.ID, Revision: 2, Replayed: true}, result)
		assert.LessOrEqual(t, f.waitFor(t, 2, f.instances[1:]...), maxPropagationTime)
	})
}

func TestIsolatedInstanceIsUnconfirmed(t *testing.T) {
	inBubble(t, 9, func(t *testing.T, f *fleet) {
		f.setPartitioned(4, true)
		result, err := f.instances[0].Apply(background, f.change(modelDoc("m", 5, 1)))
		require.NoError(t, err)
		time.Sleep(MaxConfirmationAge + time.Millisecond)
		for i, n := range f.instances {
			ok, _, retryAfter := n.Confirmed()
			assert.Equal(t, i != 4, ok, "instance %d", i)
			assert.Equal(t, ok, retryAfter == 0)
		}
		f.setPartitioned(4, false)
		f.waitFor(t, result.Revision, f.instances[4])
		time.Sleep(2 * time.Second)
		ok, reason, _ := f.instances[4].Confirmed()
		assert.True(t, ok, reason)
	})
}

func TestStoreOutage(t *testing.T) {
	testCases := []struct {
		desc             string
		partitionedPeers []int
		wantConfirmed    bool
	}{
		{desc: "all instances are reachable", wantConfirmed: true},
		{desc: "one listed instance is unreachable", partitionedPeers: []int{3}},
	}
	for _, tc := range testCases {
		t.Run(tc.desc, func(t *testing.T) {
			inBubble(t, 9, func(t *testing.T, f *fleet) {
				f.table.SetFaults(memtable.Faults{Down: true})
				for _, index := range tc.partitionedPeers {
					f.network.SetPartitioned(instanceID(index), true)
				}
				time.Sleep(MaxConfirmationAge + 2*time.Second)
				for range 90 {
					time.Sleep(2 * time.Second)
					for i, n := range f.instances {
						ok, reason, _ := n.Confirmed()
						require.Equal(t, tc.wantConfirmed, ok, "instance %d: %s", i, reason)
					}
				}
				_, err := f.instances[0].Apply(background, f.change(modelDoc("m", 5, 1)))
				require.ErrorIs(t, err, ErrUnavailable)
			})
		})
	}
}

func TestCommitInDoubtPreventsConfirmationInAnOutage(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *fleet) {
		f.table.OnCommit(func(tablestore.Txn) { f.table.SetFaults(memtable.Faults{Down: true}) })
		f.table.SetFaults(memtable.Faults{LoseAnswers: true})
		_, err := f.instances[0].Apply(background, f.change(modelDoc("m", 5, 1)))
		var unknown *OutcomeUnknownError
		require.ErrorAs(t, err, &unknown)
		time.Sleep(MaxConfirmationAge)
		for i, n := range f.instances {
			ok, _, _ := n.Confirmed()
			assert.False(t, ok, "instance %d confirms revision %d, but revision 2 is committed", i, n.Snapshot().Revision)
		}
		f.table.OnCommit(nil)
		f.table.SetFaults(memtable.Faults{})
		f.waitFor(t, 2, f.instances...)
		time.Sleep(2 * time.Second)
		ok, reason, _ := f.instances[2].Confirmed()
		assert.True(t, ok, reason)
	})
}

func TestStartInAnOutage(t *testing.T) {
	inBubble(t, 4, func(t *testing.T, f *fleet) {
		result, err := f.instances[0].Apply(background, f.change(modelDoc("m", 5, 1)))
		require.NoError(t, err)
		f.waitFor(t, result.Revision, f.instances...)
		f.table.SetFaults(memtable.Faults{Down: true})

		joined := f.join()
		f.waitFor(t, result.Revision, joined)
		time.Sleep(3 * time.Second)
		ok, reason, _ := joined.Confirmed()
		assert.True(t, ok, reason)
		assert.Equal(t, settings.MicroUnits(5), joined.Snapshot().Tree.Models["m"].Versions["v1"].InputCost)

		alone := f.join()
		f.network.SetPartitioned(instanceID(5), true)
		time.Sleep(time.Minute)
		ok, reason, _ = alone.Confirmed()
		assert.False(t, ok)
		assert.Equal(t, "settings are not loaded yet", reason)
	})
}

func TestUnreadableCommittedRevision(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		entry := logEntry{Revision: 2, ChangeID: "x", Documents: []settings.Document{
			{Path: "/models/m", Body: []byte("field_of_a_later_program: 1\n"), Revision: 2},
		}}
		f.table.Commit(background, tablestore.Txn{Mutations: []tablestore.Mutation{{Key: logKey(2), Value: encode(entry)}}})
		time.Sleep(2 * time.Second)
		for _, n := range f.instances {
			ok, reason, _ := n.Confirmed()
			assert.False(t, ok)
			assert.Contains(t, reason, "can't be read")
			assert.Equal(t, uint64(1), n.Snapshot().Revision)
		}
	})
}

func TestNewInstanceLoadsDocumentsWhenTheLogIsTruncated(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, f *fleet) {
		_, err := f.instances[0].Apply(background, f.change(modelDoc("n", 1, 1), modelDoc("m", 3, 1)))
		require.NoError(t, err)
		f.table.Commit(background, tablestore.Txn{Mutations: []tablestore.Mutation{{Key: logKey(1), Delete: true}}})
		joined := f.join()
		f.waitFor(t, 2, joined)
		docs, revision := joined.Documents("/models/m")
		assert.Equal(t, uint64(2), revision)
		assert.Equal(t, []settings.Document{modelDoc("m", 3, 2)}, docs)
	})
}

func TestReconnectedInstanceLoadsDocumentsWhenTheLogIsTruncated(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		f.setPartitioned(1, true)
		for revision := uint64(1); revision < 4; revision++ {
			_, err := f.instances[0].Apply(background, f.change(modelDoc("m", int(revision), revision)))
			require.NoError(t, err)
		}
		f.table.Commit(background, tablestore.Txn{Mutations: []tablestore.Mutation{{Key: logKey(2), Delete: true}}})
		f.instances[1].table.partitioned.Store(false)
		f.waitFor(t, 4, f.instances[1])
	})
}

func TestStatusListsLaggingInstancesFirst(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *fleet) {
		f.instances[2].table.partitioned.Store(true)
		f.network.SetPartitioned(instanceID(2), true)
		result, err := f.instances[0].Apply(background, f.change(modelDoc("m", 5, 1)))
		require.NoError(t, err)
		f.waitFor(t, result.Revision, f.instances[:2]...)
		status := f.instances[0].Status(background)
		assert.Equal(t, "entry-2", status[0].ID)
		assert.True(t, status[0].Lagging)
		assert.False(t, status[1].Lagging || status[2].Lagging)
	})
}

func TestApplyValidatesTheWholeTree(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, f *fleet) {
		_, err := f.instances[0].Apply(background, f.change(
			settings.Document{Path: "/teams/t", Body: []byte("deadline: 1s\nmodels: {gone: {stable: v1, allowed: [v1]}}\ncascades: {default: {models: [gone]}}\n")},
		))
		require.EqualError(t, err, `/teams/t:2: model "gone" does not exist`)
	})
}

func TestPollInterval(t *testing.T) {
	testCases := []struct {
		desc              string
		listed, reachable int
		want              time.Duration
	}{
		{desc: "nine instances", listed: 9, reachable: 9, want: time.Second},
		{desc: "1,200 instances poll 100 times per second", listed: 1200, reachable: 1200, want: 12 * time.Second},
		{desc: "isolated from all peers", listed: 1200, reachable: 1, want: 2 * time.Second},
		{desc: "group of three, isolated from the rest", listed: 1200, reachable: 3, want: 6 * time.Second},
	}
	for _, tc := range testCases {
		t.Run(tc.desc, func(t *testing.T) {
			assert.Equal(t, tc.want, pollInterval(tc.listed, tc.reachable))
		})
	}
}

func TestPeerAheadDoesNotConfirm(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		n := f.instances[0]
		f.setPartitioned(0, true)
		time.Sleep(2 * MaxConfirmationAge)
		reply := fetchReply{Loaded: true, Revision: n.Snapshot().Revision + 1, ConfirmedAgeMillis: 0}
		n.noteReply(instanceID(1), time.Now(), reply)
		ok, _, _ := n.Confirmed()
		assert.False(t, ok, "the peer's settings are current, but not in effect here")
		reply.Revision--
		n.noteReply(instanceID(1), time.Now(), reply)
		ok, reason, _ := n.Confirmed()
		assert.True(t, ok, reason)
	})
}
