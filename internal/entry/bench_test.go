package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/standin/platformserver"
	"github.com/basilrail/basilrail/internal/staticconfig"
	"github.com/basilrail/basilrail/internal/tracing"
)

// BenchmarkRequest sends chats through one instance over loopback to a backend
// server that answers immediately, for CPU profiles of the request path.
func BenchmarkRequest(b *testing.B) { benchmark(b, false) }

// BenchmarkStream is BenchmarkRequest with streamed answers of benchChunks chunks.
func BenchmarkStream(b *testing.B) { benchmark(b, true) }

func benchmark(b *testing.B, stream bool) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	platform := listenAndServe(b, platformserver.New().Handler())
	engine := listenAndServe(b, http.HandlerFunc(instantEngine))
	instance := benchInstance(b, platform)
	callers := instance.cfg.ListenCallers.Value.String()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = instance.Run(ctx)
	}()
	require.Eventually(b, func() bool { return instance.lifecycle.Ready() == nil }, 10*time.Second, 10*time.Millisecond)
	applyBenchSettings(b, instance, engine)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	require.Eventually(b, func() bool { return benchCall(client, callers, stream) == nil }, 10*time.Second, 10*time.Millisecond)
	b.ReportAllocs()
	b.SetParallelism(4)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := benchCall(client, callers, stream); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.StopTimer()
	stop()
	<-done
}

func listenAndServe(b *testing.B, h http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// benchChunks is the number of chunks in a streamed answer.
const benchChunks = 200

func instantEngine(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/status" {
		_, _ = io.WriteString(w, `{"instance":"e","versions":["fast@v1"]}`)
		return
	}
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Attempt-Id")
	if strings.Contains(string(body), `"stream":true`) {
		streamChunks(w, id)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	_, _ = fmt.Fprintf(w, `{"id":%q,"choices":[{"message":{"role":"assistant","content":"oak"}}],"usage":{"prompt_tokens":5,"completion_tokens":8,"total_tokens":13}}`, id)
}

func streamChunks(w http.ResponseWriter, id string) {
	w.Header().Set("X-Attempt-Id", id)
	for offset := range benchChunks {
		_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"offset\":%d,\"choices\":[{\"delta\":{\"content\":\" oak\"}}]}\n\n", id, offset)
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func freePort(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer listener.Close()
	return listener.Addr().String()
}

func benchInstance(b *testing.B, platform string) *Instance {
	secret := strings.Repeat("s", staticconfig.MinSecretBytes)
	cfg, err := staticconfig.Parse([]string{
		"--instance=entry-1", "--failure-domain=here", "--platform-url=http://" + platform,
		"--listen-callers=" + freePort(b), "--listen-operators=" + freePort(b), "--listen-peers=" + freePort(b),
		"--peer-secret=" + secret, "--token-secret=" + secret, "--drain-wait=1ms",
	})
	require.NoError(b, err)
	traces, err := tracing.New(context.Background(), tracing.Options{Requests: cfg.ExplainRecords.Value})
	require.NoError(b, err)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	instance, err := New(Options{
		Config:  cfg,
		Listen:  func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:    (&net.Dialer{}).DialContext,
		Log:     events.NewLogger(logger),
		Tracing: traces,
	})
	require.NoError(b, err)
	return instance
}

func applyBenchSettings(b *testing.B, instance *Instance, engine string) {
	docs := []settings.Document{
		{Path: "/fleet", Body: []byte("region: here\nfailure_domains: [here]\ntoken_keys:\n  - id: key-1\noperators:\n  - {name: o, key_sha256: " + settings.HashKey("o") + ", role: editor, subtree: /}\n")},
		{Path: "/models/fast", Body: []byte("versions:\n  v1:\n    input_cost: 10\n    output_cost: 30\n")},
		{Path: "/servers/e", Body: []byte("address: " + engine + "\nfailure_domain: here\nmodels: [fast]\ncapacity: 256\n")},
		{Path: "/teams/t", Body: []byte("quality_target: 0.9\ndeadline: 30s\nmodels:\n  fast:\n    stable: v1\n    allowed: [v1]\ncascades:\n  default:\n    models: [fast]\n")},
		{Path: "/teams/t/accounts/a", Body: []byte("key_sha256:\n  - " + settings.HashKey("key") + "\n")},
	}
	_, err := instance.syncer.Apply(context.Background(), settings.Change{ID: "bench", Author: "bench", Documents: docs})
	require.NoError(b, err)
}

func benchCall(client *http.Client, address string, stream bool) error {
	body := strings.NewReader(`{"model":"fast","stream":` + strconv.FormatBool(stream) + `,"max_tokens":8,"messages":[{"role":"user","content":"oak wardrobe, two doors"}]}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer key")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, got)
	}
	return err
}
