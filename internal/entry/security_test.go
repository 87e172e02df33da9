package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/gateway"
)

// Requests with invalid keys or tokens, for forbidden services, with malformed
// bodies or oversized input are refused as not run, and no engine receives them. A
// refusal must reveal nothing about keys or settings; this is not checked here.
func TestUntrustedInputIsRefused(t *testing.T) {
	const chatPath = "/v1/chat/completions"
	long := strings.Repeat("x", 300_000)
	tests := []struct {
		desc    string
		key     string
		path    string
		body    string
		headers []string
		status  int
		code    apierror.Code
	}{
		{desc: "unknown caller's key", key: "guess", path: chatPath, status: 401, code: apierror.CodeUnauthenticated},
		{desc: "operator's key at the callers' address", key: "demo-operator", path: chatPath, status: 401, code: apierror.CodeUnauthenticated},
		{desc: "body above the account's limit", key: shopA, path: chatPath, body: long, status: 413, code: apierror.CodeTooLarge},
		{desc: "body that is not JSON", key: shopA, path: chatPath, body: "{", status: 400, code: apierror.CodeBadRequest},
		{desc: "service that the team may not call", key: shopA, path: "/v1/services/payroll/x", status: 403, code: apierror.CodeForbidden},
		{
			desc: "forged session token", key: shopA, path: chatPath, body: `{"model":"auto","messages":[{"role":"user","content":"x"}]}`,
			headers: []string{gateway.HeaderSessionToken, "a.b.c"}, status: 401, code: apierror.CodeSessionInvalid,
		},
	}
	inFleet(t, 1, func(f *fleet) {
		for _, test := range tests {
			got := f.call(0, test.key, http.MethodPost, test.path, test.body, test.headers...)
			refusal := got.refusal()
			if !assert.NotNil(t, refusal, "%s: %d %s", test.desc, got.status, got.body) {
				continue
			}
			assert.Equal(t, test.status, got.status, test.desc)
			assert.Equal(t, test.code, refusal.Code, test.desc)
			assert.Equal(t, apierror.NotRun, refusal.Execution, test.desc)
		}
		header := f.call(0, shopA, http.MethodPost, chatPath, "{}", "X-Task", long)
		assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, header.status)
		for _, e := range f.engines {
			assert.Empty(t, e.Received())
		}
	})
}

// A caller that does not complete its request header is disconnected within the
// header timeout, so that it does not hold a connection.
func TestSlowCallerIsDisconnected(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		conn, err := f.network.Dial(context.Background(), "tcp", f.instances[0].callers)
		require.NoError(t, err)
		defer conn.Close()
		_, err = conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\n"))
		require.NoError(t, err)
		start := time.Now()
		_, err = conn.Read(make([]byte, 1024))
		require.Error(t, err)
		assert.LessOrEqual(t, time.Since(start), f.instances[0].cfg.HeaderTimeout.Value)
	})
}

// No log line contains a key, a token, a prompt or an answer.
func TestLogsHoldNoSecrets(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		first := f.chat(0, shopA, "auto", "confidential prompt")
		require.Equal(t, http.StatusOK, first.status)
		token := first.header.Get(gateway.HeaderSessionToken)
		f.chat(1, "wrong-key-of-a-caller", "auto", "confidential prompt", gateway.HeaderSessionToken, token)
		f.chat(1, shopA, "auto", "confidential prompt", gateway.HeaderSessionToken, token+"x")
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, secret := range []string{shopA, token, "wrong-key-of-a-caller", "confidential", "99961fd7", "ssssssss"} {
			assert.NotContains(t, f.log.String(), secret)
		}
		assert.Contains(t, f.log.String(), "request_refused")
	})
}
