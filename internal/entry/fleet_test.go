package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/memnet"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/standin/booking"
	"github.com/basilrail/basilrail/internal/standin/engine"
	"github.com/basilrail/basilrail/internal/standin/platformserver"
	"github.com/basilrail/basilrail/internal/standin/rater"
	"github.com/basilrail/basilrail/internal/staticconfig"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
	"github.com/basilrail/basilrail/internal/tracing"
)

const (
	platformAddress = "10.0.0.1:7000"
	raterAddress    = "10.0.0.2:7100"
	testSeed        = 42
	// settleTime is long enough for settings, membership lists and reports to reach
	// every instance.
	settleTime = 8 * time.Second
)

var failureDomains = []string{"hall-ikeja", "hall-lekki", "hall-yaba", "hall-apapa"}

// fleet runs instances between callers and stand-ins, in virtual time.
type fleet struct {
	t         *testing.T
	network   *memnet.Network
	platform  *platformserver.Server
	rater     *rater.Rater
	engines   map[string]*engine.Engine
	bookings  map[string]*booking.Service
	instances []*member
	client    *http.Client
	servers   []*http.Server
	log       *bytes.Buffer
	// mu guards log, which all instances write, and servers, engines and crashes,
	// which engine restarts change during the test.
	mu      sync.Mutex
	crashes int
	changes int
}

// member is a running instance.
type member struct {
	*Instance
	callers string
	stop    context.CancelFunc
	done    chan struct{}
	network *instanceNetwork
}

// peerPort is the port of every peer listener.
const peerPort = ":8082"

// instanceNetwork holds an instance's connections to the platform and the peers,
// which a test can partition; callers and backend servers stay connected.
type instanceNetwork struct {
	network     *memnet.Network
	mu          sync.Mutex
	partitioned bool
	conns       []net.Conn
}

func (n *instanceNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if address != platformAddress && !strings.HasSuffix(address, peerPort) {
		return n.network.Dial(ctx, network, address)
	}
	n.mu.Lock()
	partitioned := n.partitioned
	n.mu.Unlock()
	if partitioned {
		return nil, errors.New("no route to host")
	}
	return n.track(n.network.Dial(ctx, network, address))
}

func (n *instanceNetwork) track(conn net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, conn)
	return conn, nil
}

// partition closes the connections and blocks new ones in both directions.
func (n *instanceNetwork) partition() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = true
	for _, conn := range n.conns {
		_ = conn.Close()
	}
	n.conns = nil
}

// heal ends the partition.
func (n *instanceNetwork) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = false
}

// listen returns a listener that refuses peers while the instance is partitioned.
func (n *instanceNetwork) listen(address string) (net.Listener, error) {
	listener, err := n.network.Listen(address)
	if err != nil || !strings.HasSuffix(address, peerPort) {
		return listener, err
	}
	return &partitionableListener{Listener: listener, network: n}, nil
}

// partitionableListener is the peer listener of an instance.
type partitionableListener struct {
	net.Listener
	network *instanceNetwork
}

// Accept closes connections immediately while the instance is partitioned.
func (l *partitionableListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.network.mu.Lock()
		partitioned := l.network.partitioned
		l.network.mu.Unlock()
		if !partitioned {
			return l.network.track(conn, nil)
		}
		_ = conn.Close()
	}
}

// inFleet runs a test in a synctest bubble with instances in front of the
// backend servers of the lagos-main example, whose settings are in effect.
func inFleet(t *testing.T, size int, test func(f *fleet)) {
	t.Helper()
	bubble.Test(t, func(*testing.T) {
		f := newFleet(t)
		defer f.close()
		f.startBackends(exampleDocs(t))
		for range size {
			f.addInstance()
		}
		f.apply(0, exampleDocs(t)...)
		time.Sleep(settleTime)
		test(f)
	})
}

func newFleet(t *testing.T) *fleet {
	network := memnet.New()
	f := &fleet{
		t:        t,
		network:  network,
		platform: platformserver.New(),
		rater:    rater.New(rater.Config{PerSecond: 100}),
		engines:  make(map[string]*engine.Engine),
		bookings: make(map[string]*booking.Service),
		client:   network.Client(),
		log:      &bytes.Buffer{},
	}
	f.serve(platformAddress, f.platform.Handler())
	f.serve(raterAddress, f.rater.Handler())
	return f
}

func exampleDocs(t *testing.T) []settings.Document {
	docs, faults := settings.Load(os.DirFS("../../examples/lagos-main"))
	require.NoError(t, faults.Err())
	return docs
}

func (f *fleet) serve(address string, handler http.Handler) *http.Server {
	listener, err := f.network.Listen(address)
	require.NoError(f.t, err)
	server := &http.Server{Handler: handler}
	f.mu.Lock()
	f.servers = append(f.servers, server)
	f.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return server
}

// startBackends starts a stand-in for each backend server in the settings.
func (f *fleet) startBackends(docs []settings.Document) {
	tree, faults := settings.Parse(docs)
	require.NoError(f.t, faults.Err())
	for id, server := range tree.Servers {
		if server.Service != "" {
			f.bookings[id] = booking.New(booking.Config{Instance: id, HonoursKeys: server.Traits.HonoursKeys})
			f.serve(server.Address, f.bookings[id].Handler())
			continue
		}
		var versions []string
		for _, model := range server.Models {
			for version := range tree.Models[model].Versions {
				versions = append(versions, model+"@"+version)
			}
		}
		f.startEngine(id, server, versions, 1)
	}
}

// restartTime is the time a crashed engine takes to restart.
const restartTime = 2 * time.Second

// startEngine starts the nth process of an engine. A crash closes its connections
// and listener, and the next process starts after restartTime.
func (f *fleet) startEngine(id string, server settings.Server, versions []string, n int) {
	listening := make(chan *http.Server, 1)
	e := engine.New(engine.Config{
		Instance:             fmt.Sprintf("%s.%d", id, n),
		Versions:             versions,
		Capacity:             server.Capacity,
		ChecksFencing:        server.Traits.ChecksFencing,
		ResumesStreams:       server.Traits.ResumesStreams,
		UnacceptableFraction: map[string]float64{"tagger@v1": 0.3},
		OnCrash: func() {
			_ = (<-listening).Close()
			time.AfterFunc(restartTime, func() { f.startEngine(id, server, versions, n+1) })
		},
	})
	f.mu.Lock()
	if n > 1 {
		f.crashes++
	}
	if old := f.engines[id]; old != nil {
		e.SetFaults(old.Faults())
	}
	f.engines[id] = e
	f.mu.Unlock()
	listening <- f.serve(server.Address, e.Handler())
}

// addInstance starts one more instance.
func (f *fleet) addInstance() *member {
	n := len(f.instances) + 1
	host := fmt.Sprintf("10.1.0.%d", n)
	secret := strings.Repeat("s", staticconfig.MinSecretBytes)
	cfg, err := staticconfig.Parse([]string{
		fmt.Sprintf("--instance=entry-%d", n),
		"--failure-domain=" + failureDomains[(n-1)%len(failureDomains)],
		"--platform-url=http://" + platformAddress,
		"--rating-url=http://" + raterAddress,
		"--listen-callers=" + host + ":8080",
		"--listen-operators=" + host + ":8081",
		"--listen-peers=" + host + ":8082",
		"--peer-secret=" + secret,
		"--token-secret=" + secret,
	})
	require.NoError(f.t, err)
	traces, err := tracing.New(context.Background(), tracing.Options{Requests: 100})
	require.NoError(f.t, err)
	logger := logrus.New()
	logger.SetOutput(f)
	network := &instanceNetwork{network: f.network}
	instance, err := New(Options{
		Config:  cfg,
		Listen:  network.listen,
		Dial:    network.dial,
		Log:     events.NewLogger(logger),
		Tracing: traces,
		Seed:    testSeed,
	})
	require.NoError(f.t, err)
	ctx, stop := context.WithCancel(context.Background())
	m := &member{Instance: instance, callers: host + ":8080", stop: stop, done: make(chan struct{}), network: network}
	f.instances = append(f.instances, m)
	go func() {
		defer close(m.done)
		_ = instance.Run(ctx)
	}()
	synctest.Wait()
	return m
}

// Write appends to the log of all instances.
func (f *fleet) Write(line []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.Write(line)
}

// kill ends an instance like a crash of its process.
func (f *fleet) kill(n int) {
	f.instances[n].abort()
	<-f.instances[n].done
}

func (f *fleet) close() {
	f.client.CloseIdleConnections()
	for _, m := range f.instances {
		m.stop()
	}
	for _, m := range f.instances {
		<-m.done
	}
	for _, server := range f.servers {
		_ = server.Close()
	}
	if f.t.Failed() {
		f.t.Log(f.log.String())
	}
}

// apply commits documents through an instance, based on their latest revisions.
func (f *fleet) apply(n int, docs ...settings.Document) {
	f.t.Helper()
	current, _ := f.instances[n].syncer.Documents("/")
	revisions := make(map[string]uint64)
	for _, doc := range current {
		revisions[doc.Path] = doc.Revision
	}
	f.changes++
	change := settings.Change{ID: fmt.Sprintf("change-%d", f.changes), Author: "operations"}
	for _, doc := range docs {
		doc.Revision = revisions[doc.Path]
		change.Documents = append(change.Documents, doc)
	}
	_, err := f.instances[n].syncer.Apply(context.Background(), change)
	require.NoError(f.t, err)
}

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   []byte
	// err is the error that interrupted the response, if any.
	err error
}

// refusal decodes the error body; it returns nil if the response is an answer.
func (r reply) refusal() *apierror.Error {
	var body apierror.Body
	if json.Unmarshal(r.body, &body) != nil {
		return nil
	}
	return body.Error
}

// call sends a request to an instance; headers are name, value pairs.
func (f *fleet) call(n int, key, method, path, body string, headers ...string) reply {
	req, err := http.NewRequest(method, "http://"+f.instances[n].callers+path, strings.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: got, err: err}
}

// chat sends a chat completion.
func (f *fleet) chat(n int, key, model, prompt string, headers ...string) reply {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]}`, model, prompt)
	return f.call(n, key, http.MethodPost, "/v1/chat/completions", body, headers...)
}

// streamChat sends a chat completion with a streamed answer.
func (f *fleet) streamChat(n int, key, model, prompt string, headers ...string) reply {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, model, prompt)
	return f.call(n, key, http.MethodPost, "/v1/chat/completions", body, headers...)
}

func lostAnswerFaults() memtable.Faults { return memtable.Faults{LoseAnswers: true} }
