package configsync

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
)

// TestMain fixes the seed of the model-based test, unless BASILRAIL_SOAK or a seed
// is set.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("BASILRAIL_SOAK") == "" && flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20260"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const modelInstances = 4

// step is one random action of the model-based test.
type step struct {
	Action string
	// Instance is the instance that the action affects or that applies the change.
	Instance int
	// Model is the document that an apply changes. Stale determines how old the
	// revision is that the change is based on, or which change is resent.
	Model string
	Stale int
	Wait  time.Duration
}

var actions = []string{"apply", "apply", "apply", "resend", "down", "lose", "drop", "slow", "heal", "cut", "cut store", "cut peers", "join", "restart", "wait"}

func drawSteps(rt *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			Action:   rapid.SampledFrom(actions).Draw(rt, "action"),
			Instance: rapid.IntRange(0, modelInstances-1).Draw(rt, "instance"),
			Model:    rapid.SampledFrom([]string{"m", "n"}).Draw(rt, "model"),
			Stale:    rapid.IntRange(0, 2).Draw(rt, "stale"),
			Wait:     time.Duration(rapid.IntRange(0, 9000).Draw(rt, "wait_ms")) * time.Millisecond,
		}
	}), 1, 40).Draw(rt, "steps")
}

// model records the results returned to operators, and checks the invariants
// against them.
type model struct {
	*fleet
	sent []settings.Change
	// applying tracks the running calls of apply, which are concurrent with the steps.
	applying sync.WaitGroup
	mu       sync.Mutex
	// acknowledged holds the revision of each successful change, by change id.
	acknowledged map[string]uint64
	// refused holds, by change id, whether each failed change was reported as not
	// applied, which an unknown outcome clears.
	refused map[string]bool
	// committedAt holds the commit time of each revision.
	committedAt map[uint64]time.Time
	problems    []string
}

func TestRandomInterleavingsKeepTheInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var problems []string
		bubble.Test(t, func(t *testing.T) { problems = runModel(t, steps) })
		for _, problem := range problems {
			rt.Error(problem)
		}
	})
}

func runModel(t *testing.T, steps []step) []string {
	m := &model{
		fleet:        newFleet(modelInstances),
		acknowledged: make(map[string]uint64),
		refused:      make(map[string]bool),
		committedAt:  make(map[uint64]time.Time),
	}
	defer m.stop()
	m.table.OnCommit(m.noteCommit)
	m.setUp(t)
	for _, s := range steps {
		m.do(s)
		for waited := time.Duration(0); waited < s.Wait; waited += time.Second {
			time.Sleep(time.Second)
			m.checkConfirmed()
		}
	}
	m.heal()
	m.applying.Wait()
	time.Sleep(maxPropagationTime)
	m.checkEnd()
	return m.problems
}

// noteCommit records when a revision was committed.
func (m *model) noteCommit(txn tablestore.Txn) {
	var head headRow
	if err := decode(tablestore.Row{Value: txn.Mutations[0].Value}, &head); err != nil {
		m.problem("%v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.committedAt[head.Revision] = time.Now()
}

func (m *model) problem(format string, args ...any) {
	m.problems = append(m.problems, fmt.Sprintf(format, args...))
}

func (m *model) do(s step) {
	switch s.Action {
	case "apply":
		readAt := m.documentRevision(s.Model)
		change := m.change(modelDoc(s.Model, len(m.sent)+1, readAt-min(readAt, uint64(s.Stale/2))))
		m.sent = append(m.sent, change)
		m.applying.Go(func() { m.apply(s.Instance, change) })
	case "resend":
		if len(m.sent) > 0 {
			change := m.sent[len(m.sent)-1-min(s.Stale, len(m.sent)-1)]
			m.applying.Go(func() { m.apply(s.Instance, change) })
		}
	case "down":
		m.table.SetFaults(memtable.Faults{Down: true})
	case "lose":
		m.table.SetFaults(memtable.Faults{LoseAnswers: true})
	case "drop":
		m.table.SetFaults(memtable.Faults{DropWrites: true})
	case "slow":
		m.table.SetFaults(memtable.Faults{Delay: 700 * time.Millisecond})
	case "heal":
		m.table.SetFaults(memtable.Faults{})
	case "cut":
		m.setPartitioned(s.Instance, true)
	case "cut store":
		m.instances[s.Instance].table.partitioned.Store(true)
	case "cut peers":
		m.network.SetPartitioned(instanceID(s.Instance), true)
	case "restart":
		m.replace(s.Instance)
	case "join":
		m.setPartitioned(s.Instance, false)
	}
}

// replace stops an instance and starts a new one in its place.
func (m *model) replace(index int) {
	m.instances[index].stop()
	m.instances[index] = m.start(index)
}

func (m *model) documentRevision(name string) uint64 {
	var latest uint64
	for _, n := range m.instances {
		docs, _ := n.Documents(settings.ModelPath(name))
		if len(docs) > 0 {
			latest = max(latest, docs[0].Revision)
		}
	}
	return latest
}

func (m *model) apply(instance int, change settings.Change) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	result, err := m.instances[instance].Apply(ctx, change)
	m.mu.Lock()
	defer m.mu.Unlock()
	var unknown *OutcomeUnknownError
	switch {
	case err == nil && !result.Unchanged:
		if first, ok := m.acknowledged[change.ID]; ok && first != result.Revision {
			m.problem("change %s: first revision %d, then %d", change.ID, first, result.Revision)
		}
		m.acknowledged[change.ID] = result.Revision
	case errors.As(err, &unknown):
		m.refused[change.ID] = false
	case err != nil:
		// The change may also have been sent to another instance, with another result.
		if _, sentBefore := m.refused[change.ID]; !sentBefore {
			m.refused[change.ID] = true
		}
	}
}

// checkConfirmed checks that each instance with confirmed settings has all
// revisions that were committed more than MaxConfirmationAge ago.
func (m *model) checkConfirmed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, n := range m.instances {
		if ok, _, _ := n.Confirmed(); !ok {
			continue
		}
		for revision, at := range m.committedAt {
			if time.Since(at) > MaxConfirmationAge && n.Snapshot().Revision < revision {
				m.problem("instance %d confirms revision %d; %d was committed %v ago", i, n.Snapshot().Revision, revision, time.Since(at))
			}
		}
	}
}

func (m *model) heal() {
	m.table.SetFaults(memtable.Faults{})
	for i := range m.instances {
		m.setPartitioned(i, false)
	}
}

// checkEnd checks that all instances agree with the log, that revisions only
// increased, and that the log agrees with the reported result of each change.
func (m *model) checkEnd() {
	rows, err := m.table.Scan(context.Background(), logPrefix, "", 0)
	if err != nil {
		m.problem("read the log: %v", err)
	}
	docs := make(map[string]settings.Document)
	committed := make(map[string]uint64)
	for _, row := range rows {
		var entry logEntry
		if err := decode(row, &entry); err != nil {
			m.problem("%v", err)
		}
		if twice, ok := committed[entry.ChangeID]; ok {
			m.problem("change %s is committed at %d and %d", entry.ChangeID, twice, entry.Revision)
		}
		committed[entry.ChangeID] = entry.Revision
		docs = merge(docs, entry.Documents)
	}
	for id, revision := range m.acknowledged {
		if committed[id] != revision {
			m.problem("change %s was acknowledged at %d but the log has it at %d", id, revision, committed[id])
		}
	}
	for id, refused := range m.refused {
		if _, acknowledged := m.acknowledged[id]; refused && !acknowledged && committed[id] != 0 {
			m.problem("change %s was refused but the log has it at %d", id, committed[id])
		}
	}
	m.checkInstances(docs, uint64(len(rows)))
}

func (m *model) checkInstances(docs map[string]settings.Document, revision uint64) {
	for i, n := range m.instances {
		got, at := n.Documents("/")
		if at != revision || len(settings.Diff(got, sorted(docs))) > 0 {
			m.problem("instance %d is at revision %d, not %d", i, at, revision)
		}
		for j := 1; j < len(n.revisions); j++ {
			if n.revisions[j] <= n.revisions[j-1] {
				m.problem("instance %d went from revision %d to %d", i, n.revisions[j-1], n.revisions[j])
			}
		}
	}
}
