package storefeed

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestPatchRoundTrip(t *testing.T) {
	large := largeDocument(1)
	tests := []struct {
		name, before, after string
		maxBytes            int
	}{
		{"one key", large, largeDocument(2), 200},
		{"one route removed", large, strings.Replace(large, `{"name":"r-0","host":"h0.example","prefix":"/0/","kind":"streaming"},`, "", 1), 200},
		{"pieces reordered", `[{"a":1},{"b":2},{"c":3}]`, `[{"c":3},{"a":1},{"b":2}]`, 100},
		{"nothing in common", strings.Repeat("a", 100), strings.Repeat("b", 100), 100},
		{"empty", large, "", 20},
		{"from empty", "", `{"a":1}`, 100},
		{"no change", large, large, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			patch, err := makePatch([]byte(tt.before), []byte(tt.after))
			require.NoError(t, err)
			assert.LessOrEqual(t, len(patch), tt.maxBytes)
			after, err := applyPatch([]byte(tt.before), patch)
			require.NoError(t, err)
			assert.Equal(t, tt.after, string(after))
		})
	}
}

func TestPatchForDifferentBaseFails(t *testing.T) {
	patch, err := makePatch([]byte(largeDocument(1)), []byte(largeDocument(2)))
	require.NoError(t, err)
	_, err = applyPatch([]byte("short"), patch)
	assert.Error(t, err)
	_, err = applyPatch([]byte(largeDocument(1)), []byte("no patch"))
	assert.Error(t, err)
}

func FuzzApplyPatch(f *testing.F) {
	patch, err := makePatch([]byte("a,b,c"), []byte("a,c,d"))
	require.NoError(f, err)
	f.Add([]byte("a,b,c"), patch)
	f.Fuzz(func(t *testing.T, before, patch []byte) {
		after, err := applyPatch(before, patch)
		if err == nil && len(after) > maxLargeBytes {
			t.Fatalf("%d bytes", len(after))
		}
	})
}
