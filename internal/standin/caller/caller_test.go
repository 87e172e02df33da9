package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const chunk = `data: {"choices":[{"delta":{"content":" oak"}}]}` + "\n\n"

func TestStreamNeedsTerminalEvent(t *testing.T) {
	tests := []struct {
		desc   string
		stream string
		want   string
		text   string
	}{
		{desc: "complete", stream: chunk + chunk + "data: [DONE]\n\n", text: " oak oak"},
		{desc: "truncated", stream: chunk, want: ErrTruncated.Error(), text: " oak"},
		{desc: "failed", stream: chunk + "event: error\ndata: {\"error\":{}}\n\n", want: "the stream failed", text: " oak"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				fmt.Fprint(w, test.stream)
			}))
			defer server.Close()
			answer, err := Do(context.Background(), server.Client(), Call{Method: http.MethodPost, URL: server.URL})
			if test.want == "" {
				require.NoError(t, err)
			} else {
				require.ErrorContains(t, err, test.want)
			}
			assert.Equal(t, test.text, answer.Text)
		})
	}
}

func TestSessionTokenOfLastResponseIsSent(t *testing.T) {
	var got []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = append(got, r.Header.Get(headerSession))
		w.Header().Set(headerSession, fmt.Sprint("token-", len(got)))
	}))
	defer server.Close()
	call := Call{Method: http.MethodPost, URL: server.URL, SessionFile: filepath.Join(t.TempDir(), "session")}
	for range 3 {
		_, err := Do(context.Background(), server.Client(), call)
		require.NoError(t, err)
	}
	assert.Equal(t, []string{"", "token-1", "token-2"}, got)
}
