package rater

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/standin/engine"
)

func rateAnswer(t *testing.T, s *Rater, answer string) *httptest.ResponseRecorder {
	t.Helper()
	body, err := json.Marshal(Request{Task: "tag", Prompt: "p", Answer: answer, Version: "m@1"})
	require.NoError(t, err)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/rate", strings.NewReader(string(body))))
	return w
}

func TestScores(t *testing.T) {
	tests := []struct {
		desc   string
		answer string
		score  float64
	}{
		{desc: "acceptable", answer: "oak wardrobe", score: GoodScore},
		{desc: "marked", answer: "x " + engine.UnacceptableMarker + " y", score: BadScore},
		{desc: "empty", answer: "", score: BadScore},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			w := rateAnswer(t, New(Config{}), test.answer)
			var reply Reply
			require.NoError(t, json.NewDecoder(w.Body).Decode(&reply))
			assert.InDelta(t, test.score, reply.Score, 1e-9)
		})
	}
}

func TestRateLimitAnswersTooManyRequests(t *testing.T) {
	s := New(Config{PerSecond: 0.001})
	assert.Equal(t, http.StatusOK, rateAnswer(t, s, "a").Code)
	w := rateAnswer(t, s, "a")
	assert.Equal(t, http.StatusTooManyRequests, w.Code)
	assert.NotEmpty(t, w.Header().Get("Retry-After"))
	assert.EqualValues(t, 1, s.Ratings())
}
