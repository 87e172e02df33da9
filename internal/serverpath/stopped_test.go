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
	// checkingEnv makes TestCheckOfAStoppedProcess the process that is stopped.
	checkingEnv = "BASILRAIL_TEST_CHECKING"
	// stoppedFor is longer than a check takes.
	stoppedFor = 3 * checkTimeout
	// connectStep is half the time that a connection of the test takes.
	connectStep = 50 * time.Millisecond
)

// TestCheckOfAStoppedProcess guards against instances that did not run for a while and take
// that for a cut: they leave their path, refuse the streams of other instances, and load these
// with their own.
func TestCheckOfAStoppedProcess(t *testing.T) {
	if os.Getenv(checkingEnv) != "" {
		fmt.Println("reached:", checkSlowServers(t))
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), checkingEnv+"=1")
	output, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	lines := bufio.NewScanner(output)
	require.True(t, lines.Scan())
	require.Equal(t, "checking", lines.Text())
	require.NoError(t, cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(stoppedFor)
	require.NoError(t, cmd.Process.Signal(syscall.SIGCONT))
	require.True(t, lines.Scan())
	assert.Equal(t, "reached: true", lines.Text(), "the servers accept connections")
	for lines.Scan() {
	}
	require.NoError(t, cmd.Wait())
}

// checkSlowServers checks servers to which a connection takes two steps, for which this process
// must run.
func checkSlowServers(t *testing.T) bool {
	charts, err := statechart.Load()
	require.NoError(t, err)
	set := fleet.NewSet("z0", nil)
	set.Put(fleet.Registration{ID: "s0", Service: "models", Address: "s0", FailureDomain: "z0", Slots: 8})
	p := New(Options{Bus: membus.New().Join("i0", "z0"), Fleet: set, Chart: charts.Path, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		fmt.Println("checking")
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
	}})
	return p.Check(t.Context(), "models")
}
