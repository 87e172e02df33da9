package measure

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// PathConfig locates the processes of the overhead and throughput measures, which
// scripts/measure.sh starts; the zero value skips both measures.
type PathConfig struct {
	EntryURL  string `help:"Base URL of an entry instance; a URL."`
	RelayURL  string `help:"Base URL of the bare relay; a URL."`
	EngineURL string `help:"Base URL of the engine; a URL."`
	EntryPID  int    `name:"entry-pid" help:"Process whose processor time is read; a number."`
	RelayPID  int    `name:"relay-pid" help:"Process whose processor time is read; a number."`
	Key       string `help:"A caller's key; text." default:"demo-measure-caller"`
	Model     string `help:"Version that the engine serves, model@version." default:"fast@v1"`
}

// Path is set from the command line before Run.
var Path PathConfig

const (
	overheadTarget     = time.Millisecond
	overheadRequests   = 2000
	throughputTarget   = 0.5
	throughputRequests = 20000
	throughputCallers  = 32
	// clockTicksPerSecond is the unit of CPU times in /proc on Linux.
	clockTicksPerSecond = 100
)

func init() {
	Register(90, "overhead", measureOverhead)
	Register(91, "throughput", measureThroughput)
}

// notRun returns the row of a measure whose processes are not running.
func notRun(name, target string) []Row {
	return []Row{{Name: name, Baseline: "not run", Ours: "not run", Target: target, Note: "its processes are not running: run make measure"}}
}

// measureOverhead compares the median time of a request sent directly to the engine
// with that of a request through an instance, alternating between the two.
func measureOverhead(uint64) []Row {
	target := "≤ 1 ms added at the median"
	if Path.EntryURL == "" {
		return notRun("overhead", target)
	}
	client := newCaller()
	var direct, viaInstance []time.Duration
	for range overheadRequests {
		direct = append(direct, client.timed(Path.EngineURL))
		viaInstance = append(viaInstance, client.timed(Path.EntryURL))
	}
	if client.failed != nil {
		return []Row{{Name: "overhead", Baseline: "failed", Ours: "failed", Target: target, Note: client.failed.Error()}}
	}
	added := median(viaInstance) - median(direct)
	return []Row{{
		Name:     "overhead",
		Baseline: fmt.Sprintf("%v direct", median(direct).Round(time.Microsecond)),
		Ours:     fmt.Sprintf("%v through an entry, %v added", median(viaInstance).Round(time.Microsecond), added.Round(time.Microsecond)),
		Target:   target,
		Pass:     added <= overheadTarget,
	}}
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

// measureThroughput compares the number of requests that an instance and a
// bare relay serve per second of CPU time.
func measureThroughput(uint64) []Row {
	target := fmt.Sprintf("ratio ≥ %.1f", throughputTarget)
	if Path.EntryURL == "" {
		return notRun("throughput", target)
	}
	relay, err := perCoreSecond(Path.RelayURL, Path.RelayPID)
	if err != nil {
		return []Row{{Name: "throughput", Baseline: "failed", Ours: "not run", Target: target, Note: err.Error()}}
	}
	instance, err := perCoreSecond(Path.EntryURL, Path.EntryPID)
	if err != nil {
		return []Row{{Name: "throughput", Baseline: "measured", Ours: "failed", Target: target, Note: err.Error()}}
	}
	return []Row{{
		Name:     "throughput",
		Baseline: fmt.Sprintf("%.0f requests per core-second, bare relay", relay),
		Ours:     fmt.Sprintf("%.0f requests per core-second, ratio %.2f", instance, instance/relay),
		Target:   target,
		Pass:     instance/relay >= throughputTarget,
	}}
}

// perCoreSecond sends requests to a process, after a warm-up, and returns the
// number served per second of its CPU time.
func perCoreSecond(url string, pid int) (float64, error) {
	if err := load(url, throughputRequests/10); err != nil {
		return 0, err
	}
	before, err := cpuTime(pid)
	if err != nil {
		return 0, err
	}
	if err := load(url, throughputRequests); err != nil {
		return 0, err
	}
	after, err := cpuTime(pid)
	if err != nil {
		return 0, err
	}
	return throughputRequests / (after - before).Seconds(), nil
}

func load(url string, requests int) error {
	client := newCaller()
	var callers sync.WaitGroup
	for range throughputCallers {
		callers.Go(func() {
			for range requests / throughputCallers {
				client.timed(url)
			}
		})
	}
	callers.Wait()
	return client.failed
}

// cpuTime returns the CPU time that a process has used, from
// /proc/<pid>/stat.
func cpuTime(pid int) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read CPU time")
	}
	// The second field is the name in parentheses and may contain spaces.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0, errors.New("read CPU time: too few fields in /proc/<pid>/stat")
	}
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, nil
}

// caller sends the same request repeatedly and keeps the last error.
type caller struct {
	http *http.Client
	body []byte

	mu     sync.Mutex
	failed error
}

func newCaller() *caller {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":8,"messages":[{"role":"user","content":"oak wardrobe, two doors"}]}`, Path.Model)
	transport := &http.Transport{MaxIdleConnsPerHost: throughputCallers}
	return &caller{http: &http.Client{Transport: transport}, body: []byte(body)}
}

// timed sends one request and returns the time until its answer was complete.
func (c *caller) timed(url string) time.Duration {
	started := time.Now()
	if err := c.send(url); err != nil {
		c.mu.Lock()
		c.failed = err
		c.mu.Unlock()
	}
	return time.Since(started)
}

func (c *caller) send(url string) error {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(c.body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+Path.Key)
	req.Header.Set("X-Attempt-Id", "measure")
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return nil
}
