package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/basilrail/basilrail/internal/peers/membus"
)

// BenchmarkRequest measures the overhead of the quarantine for a request of unknown
// content, with the record set full of suspects.
func BenchmarkRequest(b *testing.B) {
	q := New(Options{Bus: membus.New().Join("entry-0", "a")})
	for i := range maxRecords {
		q.mergeRecord(FingerprintOf(fmt.Append(nil, i)), []Crash{{Server: "s1"}}, nil, time.Now())
	}
	content := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		fp := FingerprintOf(content)
		q.Check(fp)
		q.Begin("s2", "p1", fp, "attempt")
		q.End("attempt", true)
	}
}
