package capacity

import (
	"context"
	"fmt"
	"io"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/peers/mesh"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/wait"
)

// Options holds the parameters of a measurement.
type Options struct {
	Seed uint64
	// Sizes are the numbers of instances of the fleets, which run one after the
	// other.
	Sizes []int
	// Duration is the time for which each fleet is measured.
	Duration time.Duration
	// BillsPerSecond is the number of bills that each instance records per second.
	BillsPerSecond int
}

// Point holds the costs of one instance of a fleet, as the mean over the fleet.
// Dropped is the total of the fleet.
type Point struct {
	Instances int
	Links     float64
	// Bytes sent per second, by kind of message.
	KeepaliveBytes, HeartbeatBytes, HintBytes, BillBytes float64
	// CPUPercent is the CPU time used, as a percentage of one core.
	CPUPercent float64
	Dropped    int64
}

// heartbeat has the size of an instance's heartbeat.
type heartbeat struct {
	Revision    uint64 `cbor:"1,keyasint"`
	FreshMillis int64  `cbor:"2,keyasint"`
	InFlight    int    `cbor:"3,keyasint"`
}

// hint has the size of a settings hint.
type hint struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// Measure starts and measures each fleet in turn.
func Measure(ctx context.Context, o Options) ([]Point, error) {
	var points []Point
	for _, size := range o.Sizes {
		p, err := measureFleet(ctx, o, size)
		if err != nil {
			return nil, errors.Wrapf(err, "fleet of %d", size)
		}
		points = append(points, p)
	}
	return points, nil
}

func measureFleet(ctx context.Context, o Options, size int) (Point, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := startFleet(ctx, size, o.Seed)
	if err != nil {
		return Point{}, err
	}
	defer f.close()
	before, cpu := f.sum(), cpuTime()
	start := time.Now()
	f.load(ctx, o)
	elapsed := time.Since(start).Seconds() * float64(size)
	after := f.sum()
	rate := func(kind peers.Kind) float64 {
		return float64(after.Kinds[kind].SentBytes-before.Kinds[kind].SentBytes) / elapsed
	}
	return Point{
		Instances:      size,
		Links:          float64(after.Links) / float64(size),
		KeepaliveBytes: rate(0),
		HeartbeatBytes: rate(peers.KindHeartbeat),
		HintBytes:      rate(peers.KindSettingsHint),
		BillBytes:      rate(peers.KindBill) + rate(peers.KindBillFlushed),
		CPUPercent:     100 * (cpuTime() - cpu).Seconds() / elapsed,
		Dropped:        after.Dropped,
	}, nil
}

// load makes each instance send a heartbeat per second and record its bills, and the
// first one also send a settings hint per second.
func (f *fleet) load(ctx context.Context, o Options) {
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var running sync.WaitGroup
	for i, inst := range f.instances {
		running.Go(func() {
			for second := uint64(1); wait.For(ctx, time.Second) == nil; second++ {
				inst.mesh.Broadcast(peers.KindHeartbeat, heartbeat{Revision: second + 1e5, FreshMillis: 900, InFlight: 40})
				if i == 0 {
					inst.mesh.Broadcast(peers.KindSettingsHint, hint{Revision: second + 1e5})
				}
			}
		})
		running.Go(func() { inst.bill(ctx, o.BillsPerSecond) })
	}
	running.Wait()
}

func (inst *instance) bill(ctx context.Context, perSecond int) {
	if perSecond == 0 {
		return
	}
	var records sync.WaitGroup
	for i := 0; wait.For(ctx, time.Second/time.Duration(perSecond)) == nil; i++ {
		records.Go(func() { _ = inst.ledger.Record(ctx, exampleBill(inst.mesh.Self(), i)) })
	}
	records.Wait()
}

// exampleBill returns a bill for one attempt, with ids of realistic length.
func exampleBill(instance string, i int) billing.Record {
	const cost = settings.MicroUnits(1350)
	id := fmt.Sprintf("%s-%012d", instance, i)
	return billing.Record{
		Account:   "/teams/ikeja/accounts/shop-14",
		RequestID: id,
		At:        time.Now(),
		Total:     cost,
		Lines: []billing.Line{{
			AttemptID: id + "-1", Target: "assistant-small@2026-11", Server: "hall-ikeja-07",
			InputTokens: 820, OutputTokens: 250, Cost: cost, Billed: true,
		}},
	}
}

// cpuTime returns the CPU time that this process has used, in user and system
// mode.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Print writes the points and the projected costs of a fleet of the target size.
func Print(out io.Writer, o Options, points []Point) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "instances\tlinks\tkeepalive B/s\theartbeat B/s\thint B/s\tbill B/s\tCPU %\tdropped\t")
	for _, p := range points {
		fmt.Fprintf(table, "%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%d\t\n", p.Instances, p.Links,
			p.KeepaliveBytes, p.HeartbeatBytes, p.HintBytes, p.BillBytes, p.CPUPercent, p.Dropped)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print measurement")
	}
	return printTarget(out, o, points[len(points)-1])
}

const (
	targetInstances         = 1200
	targetRequestsPerSecond = 52000
	targetChangesPerDay     = 27000
	targetBytesPerSecond    = 7000
	secondsPerDay           = 86400
)

// printTarget projects the costs of the target fleet from a point. The point must
// have the same number of links per instance and of copies of a bill as the target,
// because every cost is per link or per message that the instance itself creates;
// otherwise nothing is printed.
func printTarget(out io.Writer, o Options, p Point) error {
	if p.Instances <= mesh.FullMeshInstances || billing.ReplicaCount(p.Instances) != billing.ReplicaCount(targetInstances) {
		return nil
	}
	hints := p.HintBytes * targetChangesPerDay / secondsPerDay
	perBill := p.BillBytes / float64(max(1, o.BillsPerSecond))
	perInstance := float64(targetRequestsPerSecond) / targetInstances
	bills := perBill * perInstance
	sum := p.KeepaliveBytes + p.HeartbeatBytes + hints + bills
	_, err := fmt.Fprintf(out, "\n%d instances, sent B/s per instance: keepalive %.0f, heartbeat %.0f, hints %.0f, bills %.0f"+
		" (%.0f B per bill, %.1f bills/s); sum %.0f of %d\n",
		targetInstances, p.KeepaliveBytes, p.HeartbeatBytes, hints, bills, perBill, perInstance, sum, targetBytesPerSecond)
	return errors.Wrap(err, "print target")
}
