package daemon

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/ctl"
	"github.com/basilrail/basilrail/internal/standin/caller"
	"github.com/basilrail/basilrail/internal/standin/command"
	"github.com/basilrail/basilrail/internal/standin/engine"
)

// roleEnv is the environment variable that makes the test binary run as one of
// the programs.
const roleEnv = "BASILRAIL_TEST_ROLE"

const (
	operatorKey = "test-operator"
	callerKey   = "test-caller"
	testVersion = "tagger@v1"
	// waitingRequests is the number of requests sent to the frozen instance.
	waitingRequests = 16
	// conditionTimeout limits the wait for a condition.
	conditionTimeout = 20 * time.Second
)

func TestMain(m *testing.M) {
	switch os.Getenv(roleEnv) {
	case "daemon":
		os.Exit(Main(os.Args[1:], os.Stderr))
	case "standin":
		var cli command.CLI
		app := kong.Parse(&cli, command.Options()...)
		app.FatalIfErrorf(app.Run())
	default:
		os.Exit(m.Run())
	}
}

// processes is a small fleet of operating system processes.
type processes struct {
	t         *testing.T
	dir       string
	callers   []string
	operators []string
	instances []*exec.Cmd
	client    *http.Client
}

// The ports are below the ephemeral range, so that outgoing connections do not
// take them, and each test process uses its own block.
const (
	firstPort     = 20_000
	portsPerBlock = 100
	portBlocks    = 120
)

var nextPort = firstPort + os.Getpid()%portBlocks*portsPerBlock

// freeAddress returns a loopback address with a port that is currently free and
// was not returned before.
func freeAddress(t *testing.T) string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		require.Less(t, nextPort, firstPort+portsPerBlock*(portBlocks+1), "no free port in the range")
		listener, err := net.Listen("tcp", address)
		if err == nil {
			require.NoError(t, listener.Close())
			return address
		}
	}
}

// start starts a program and kills it when the test ends.
func (p *processes) start(role string, args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), roleEnv+"="+role)
	output := &bytes.Buffer{}
	cmd.Stdout, cmd.Stderr = output, output
	require.NoError(p.t, cmd.Start())
	p.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if p.t.Failed() {
			p.t.Logf("%s %v:\n%s", role, args, output)
		}
	})
	return cmd
}

func keyHash(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// writeDocument writes a settings document to the settings directory.
func (p *processes) writeDocument(path, format string, args ...any) {
	file := filepath.Join(p.dir, path)
	require.NoError(p.t, os.MkdirAll(filepath.Dir(file), 0o755))
	require.NoError(p.t, os.WriteFile(file, fmt.Appendf(nil, format, args...), 0o600))
}

func (p *processes) writeSettings() {
	p.writeDocument("fleet.yaml", "region: r\nfailure_domains: [a]\ntoken_keys: [{id: k}]\noperators:\n  - {name: o, key_sha256: %s, role: editor, subtree: /}\n", keyHash(operatorKey))
	p.writeDocument("models/tagger.yaml", "versions:\n  v1: {input_cost: 10, output_cost: 20}\n  v2: {input_cost: 10, output_cost: 20}\n")
	p.writeDocument("services/booking.yaml", "call_cost: 5\noperations: [{method: POST, path_prefix: /bookings, idempotent: false}]\n")
	p.writeDocument("servers/engine-1.yaml", "address: %s\nfailure_domain: a\nmodels: [tagger]\ncapacity: 8\naccelerators: 1\n", freeAddress(p.t))
	p.writeDocument("servers/booking-1.yaml", "address: %s\nfailure_domain: a\nservice: booking\ncapacity: 8\n", freeAddress(p.t))
	p.writeDocument("teams/shops.yaml", "quality_target: 0.9\ndeadline: 30s\nmodels:\n  tagger: {stable: v1, allowed: [v1, v2]}\ncascades:\n  default: {models: [tagger]}\nservices: [booking]\n")
	p.writeDocument("teams/shops/accounts/one.yaml", "key_sha256: [%s]\n", keyHash(callerKey))
}

// newProcesses starts three instances and the stand-ins, applies the settings
// and waits until every instance answers.
func newProcesses(t *testing.T) *processes {
	p := &processes{t: t, dir: t.TempDir(), client: &http.Client{Timeout: conditionTimeout}}
	p.writeSettings()
	platform := freeAddress(t)
	p.start("standin", "platform", "--listen="+platform)
	p.start("standin", "servers", p.dir, "--token-time=50ms")
	secret := strings.Repeat("s", 32)
	for n := range 3 {
		callers, operators := freeAddress(t), freeAddress(t)
		p.callers = append(p.callers, "http://"+callers)
		p.operators = append(p.operators, "http://"+operators)
		p.instances = append(p.instances, p.start("daemon", fmt.Sprintf("--instance=entry-%d", n), "--failure-domain=a",
			"--platform-url=http://"+platform, "--listen-callers="+callers, "--listen-operators="+operators,
			"--listen-peers="+freeAddress(t), "--peer-secret="+secret, "--token-secret="+secret,
			"--bootstrap-key-sha256="+keyHash(operatorKey), "--drain-wait=200ms"))
	}
	for n := range p.instances {
		p.eventually("the instance is ready", func() bool { return p.get(n, "/health/ready") != nil })
	}
	p.ctl(0, "apply", p.dir)
	p.eventually("settings are in effect", func() bool { return p.revision(0) > 0 && p.revision(1) > 0 && p.revision(2) > 0 })
	p.eventually("a version is loaded", func() bool { return p.chat(0, false).Status == http.StatusOK })
	p.eventually("a version is loaded", func() bool { return p.chat(1, false).Status == http.StatusOK })
	p.eventually("a version is loaded", func() bool { return p.chat(2, false).Status == http.StatusOK })
	return p
}

// eventually waits until a condition holds, at most for conditionTimeout.
func (p *processes) eventually(what string, holds func() bool) {
	p.t.Helper()
	require.Eventually(p.t, holds, conditionTimeout, 20*time.Millisecond, what)
}

// get returns the body of a path on an operators' address; nil unless the status is
// 200 and the body is read completely.
func (p *processes) get(n int, path string) []byte {
	resp, err := p.client.Get(p.operators[n] + path)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return nil
	}
	return body.Bytes()
}

// revision returns the settings revision in effect at an instance.
func (p *processes) revision(n int) uint64 {
	var health struct{ Revision uint64 }
	_ = json.Unmarshal(p.get(n, "/health/live"), &health)
	return health.Revision
}

// ctl runs the operators' tool and requires that it succeeds.
func (p *processes) ctl(n int, args ...string) {
	p.t.Helper()
	var out bytes.Buffer
	args = append(args, "--entry="+p.operators[n], "--key="+operatorKey)
	code := ctl.Main(context.Background(), args, &out, &out)
	require.Zero(p.t, code, out.String())
}

// bookingBills returns the number of bills of bookings, identified by their
// idempotency key.
func (p *processes) bookingBills(n int) int {
	var out bytes.Buffer
	ctl.Main(context.Background(), []string{"bills", "--entry=" + p.operators[n], "--key=" + operatorKey}, &out, &out)
	return strings.Count(out.String(), " key-")
}

// send sends a call to an instance. If the answer is incomplete, its status is 0
// and its text the error.
func (p *processes) send(n int, path, key string, body any) caller.Answer {
	encoded, err := json.Marshal(body)
	require.NoError(p.t, err)
	answer, err := caller.Do(context.Background(), p.client, caller.Call{
		Method: http.MethodPost, URL: p.callers[n] + path, Key: callerKey, IdempotencyKey: key, Body: encoded,
	})
	if err != nil {
		return caller.Answer{Text: err.Error()}
	}
	return answer
}

func (p *processes) chat(n int, stream bool) caller.Answer {
	return p.send(n, "/v1/chat/completions", "", engine.ChatRequest{
		Model: testVersion, Stream: stream, Messages: []engine.Message{{Role: "user", Content: "a wardrobe"}},
	})
}

func (p *processes) book(n int) caller.Answer {
	return p.send(n, "/v1/services/booking/bookings", "pickup-1", "van 1")
}

// startStream starts a stream and returns once it is in flight at the instance.
func (p *processes) startStream(n int) <-chan caller.Answer {
	answers := make(chan caller.Answer, 1)
	go func() { answers <- p.chat(n, true) }()
	p.eventually("a request is in flight", func() bool {
		var vars struct {
			Tokens float64 `json:"tokens_in_flight"`
		}
		return json.Unmarshal(p.get(n, "/metrics"), &vars) == nil && vars.Tokens > 0
	})
	return answers
}

// TestKilledInstance checks that killing a process neither repeats a booking, nor
// loses a bill, nor makes an interrupted stream look complete.
func TestKilledInstance(t *testing.T) {
	p := newProcesses(t)
	first := p.book(0)
	require.Equal(t, http.StatusCreated, first.Status, first.Text)
	stream := p.startStream(0)
	require.NoError(t, p.instances[0].Process.Kill())
	assert.NotEqual(t, http.StatusOK, (<-stream).Status, "an interrupted stream must be reported as incomplete")
	repeated := p.book(1)
	assert.Equal(t, first.Text, repeated.Text)
	assert.True(t, repeated.Replayed)
	p.eventually("the booking is billed", func() bool { return p.bookingBills(1) > 0 })
	assert.Equal(t, 1, p.bookingBills(1))
}

// TestFrozenInstance checks that a process that was stopped while a version was
// withdrawn sends no new requests to that version after it continues.
func TestFrozenInstance(t *testing.T) {
	p := newProcesses(t)
	before := p.revision(2)
	require.NoError(t, p.instances[1].Process.Signal(syscall.SIGSTOP))
	p.ctl(2, "withdraw", testVersion)
	p.eventually("the withdrawal is in effect", func() bool { return p.revision(2) > before })
	// Longer than an instance may serve without confirming its settings.
	time.Sleep(6 * time.Second)
	// The instance receives these requests as soon as it continues.
	answers := make(chan caller.Answer, waitingRequests)
	for range waitingRequests {
		go func() { answers <- p.chat(1, false) }()
	}
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, p.instances[1].Process.Signal(syscall.SIGCONT))
	for range waitingRequests {
		answer := <-answers
		assert.NotEqual(t, http.StatusOK, answer.Status, answer.Text)
	}
	p.eventually("the instance catches up", func() bool { return p.revision(1) == p.revision(2) })
}

// TestTerminatedInstance checks that a graceful shutdown completes a running stream.
func TestTerminatedInstance(t *testing.T) {
	p := newProcesses(t)
	stream := p.startStream(2)
	require.NoError(t, p.instances[2].Process.Signal(syscall.SIGTERM))
	answer := <-stream
	assert.Equal(t, http.StatusOK, answer.Status, answer.Text)
	assert.Equal(t, answer.Usage.CompletionTokens, len(strings.Fields(answer.Text)))
	assert.NoError(t, p.instances[2].Wait(), "the process exits with status 0")
}
