package capacity

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/scheduling"
	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// serverModels is the number of models in use.
	serverModels = 16
	// subsetSize is the number of servers per model that an instance uses.
	subsetSize = 16
	// picksTimed is the number of picks over which the time is averaged.
	picksTimed = 20_000
	// reportsTimed is the number of status reports over which the time is averaged.
	reportsTimed = 200
)

// ServerPoint holds the costs of a number of backend servers for one instance.
type ServerPoint struct {
	Servers int
	Watched int
	// Install is the time to apply a settings revision on the data path.
	Install time.Duration
	// Report is the time to apply a status with a changed set of versions.
	Report time.Duration
	// Pick is the time to choose a server.
	Pick time.Duration
	// HeapBytes is the memory used by the servers, settings included.
	HeapBytes int64
}

// MeasureServers measures one instance with each number of servers.
func MeasureServers(sizes []int, seed uint64) []ServerPoint {
	var points []ServerPoint
	for _, size := range sizes {
		points = append(points, measureServers(size, seed))
	}
	return points
}

func measureServers(size int, seed uint64) ServerPoint {
	before := heap()
	tree := serverTree(size)
	store := datastore.New(datastore.WithSubset("entry-1", subsetSize))
	point := ServerPoint{Servers: size}
	point.Install = timed(1, func(int) { store.SetSettings(settings.Compile(1, tree)) })
	watched := store.Snapshot().Watched()
	point.Watched = len(watched)
	for i, server := range watched {
		store.SetStatus(server.ID, report(server, i%2))
	}
	point.Report = timed(reportsTimed, func(i int) {
		server := watched[i%len(watched)]
		store.SetStatus(server.ID, report(server, i%3))
	})
	point.Pick = pickTime(store.Snapshot(), watched[0], seed)
	point.HeapBytes = heap() - before
	runtime.KeepAlive(store)
	return point
}

func pickTime(snap *datastore.Snapshot, server *datastore.Server, seed uint64) time.Duration {
	rng := rand.New(rand.NewPCG(seed, seed))
	request := scheduling.Request{Version: server.Status().Versions[0], Tokens: 500, Now: time.Now()}
	return timed(picksTimed, func(int) {
		// The version is loaded, so a server is always found.
		_, _ = scheduling.Pick(snap, request, rng)
	})
}

// timed returns the mean time of a call.
func timed(calls int, call func(i int)) time.Duration {
	started := time.Now()
	for i := range calls {
		call(i)
	}
	return time.Since(started) / time.Duration(calls)
}

// heap returns the memory in use after garbage collection, in bytes. It collects
// several times because objects with finalizers survive the first collection.
func heap() int64 {
	const collections = 3
	for range collections {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func serverTree(size int) settings.Tree {
	tree := settings.Tree{Servers: make(map[string]settings.Server, size)}
	for i := range size {
		tree.Servers[fmt.Sprintf("engine-%05d", i)] = settings.Server{
			Address:       fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255),
			FailureDomain: fmt.Sprintf("domain-%02d", i%19),
			Models:        []string{fmt.Sprintf("model-%02d", i%serverModels)},
			Capacity:      8,
			Accelerators:  8,
		}
	}
	return tree
}

// report returns a status with one version of the server's model.
func report(server *datastore.Server, version int) datastore.Status {
	ref := settings.VersionRef{Model: server.Settings.Models[0], Version: fmt.Sprintf("v%d", version)}
	return datastore.Status{Versions: []settings.VersionRef{ref}, ReportedAt: time.Now()}
}

// PrintServers writes the points as a table.
func PrintServers(out io.Writer, points []ServerPoint) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "servers\twatched\tinstall settings\treport\tpick\theap KiB\t")
	for _, p := range points {
		fmt.Fprintf(table, "%d\t%d\t%v\t%v\t%v\t%d\t\n", p.Servers, p.Watched,
			p.Install.Round(time.Microsecond), p.Report.Round(time.Microsecond), p.Pick, p.HeapBytes>>10)
	}
	return table.Flush()
}
