package serverpath

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/statechart"
)

const (
	// stoppedEnv makes a test the process that is stopped.
	stoppedEnv = "BASILRAIL_TEST_STOPPED"
	// stoppedFor is longer than a check or the opening of a stream takes.
	stoppedFor = 2 * relayTimeout
	// connectStep is half the time that a connection of the test takes.
	connectStep = 50 * time.Millisecond
	// begunLine is what the process prints when it connects.
	begunLine = "connecting"
)

// runStopped runs a test in another process, which is stopped for stoppedFor when it connects,
// and returns the line that the process prints next.
func runStopped(t *testing.T) string {
	cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), stoppedEnv+"=1")
	output, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	lines := bufio.NewScanner(output)
	require.True(t, lines.Scan())
	require.Equal(t, begunLine, lines.Text())
	require.NoError(t, cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(stoppedFor)
	require.NoError(t, cmd.Process.Signal(syscall.SIGCONT))
	require.True(t, lines.Scan())
	line := lines.Text()
	for lines.Scan() {
	}
	require.NoError(t, cmd.Wait())
	return line
}

// connectSlowly connects in two steps, for which this process must run.
func connectSlowly(ctx context.Context, _, _ string) (net.Conn, error) {
	fmt.Println(begunLine)
	for range 2 {
		select {
		case <-time.After(connectStep):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	near, far := net.Pipe()
	_ = far.Close()
	return near, nil
}

// newSlowPaths returns paths to one server, to which connections of this instance and of its
// peers take some time.
func newSlowPaths(t *testing.T) *Paths {
	charts, err := statechart.Load()
	require.NoError(t, err)
	network := membus.New()
	for _, peer := range []string{"i1", "i2"} {
		network.Join(peer, "z0")
	}
	set := fleet.NewSet("z0", nil)
	set.Put(fleet.Registration{ID: "s0", Service: "models", Address: "s0", FailureDomain: "z0", Slots: 8})
	return New(Options{Bus: network.Join("i0", "z0"), Fleet: set, Chart: charts.Path, FailureDomain: "z0", Dial: connectSlowly, Relay: connectSlowly})
}

// TestStoppedProcessIsNotCutOff guards against instances that did not run for a while and take
// that for a cut: they leave their path, refuse the streams of other instances, and load these
// with their own.
func TestStoppedProcessIsNotCutOff(t *testing.T) {
	if os.Getenv(stoppedEnv) != "" {
		fmt.Println("reached:", newSlowPaths(t).Check(t.Context(), "models"))
		return
	}
	assert.Equal(t, "reached: true", runStopped(t), "the server accepts connections")
}

// TestStoppedProcessGivesUpNoRelay guards against instances that did not run for a while, take
// that for the silence of a peer, and ask one peer after the other.
func TestStoppedProcessGivesUpNoRelay(t *testing.T) {
	if os.Getenv(stoppedEnv) != "" {
		p := newSlowPaths(t)
		server, _ := p.Fleet.Snapshot().Server("s0")
		_, err := p.Relay(t.Context(), server)
		fmt.Println("relayed:", err == nil)
		return
	}
	assert.Equal(t, "relayed: true", runStopped(t), "the first peer connects")
}
