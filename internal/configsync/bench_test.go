package configsync

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
)

// largeTree returns the documents of a tree with the given number of backend
// servers and one client account per ten servers.
func largeTree(servers int) []settings.Document {
	docs := baseDocs()
	docs = append(docs, settings.Document{
		Path: "/teams/t",
		Body: []byte("deadline: 30s\nmodels: {m: {stable: v1, allowed: [v1]}}\ncascades: {default: {models: [m]}}\n"),
	})
	for i := range servers {
		docs = append(docs, settings.Document{
			Path: fmt.Sprintf("/servers/s%05d", i),
			Body: fmt.Appendf(nil, "address: 10.0.%d.%d:9000\nfailure_domain: hall-0\nmodels: [m]\ncapacity: 8\naccelerators: 8\ntraits:\n  checks_fencing: true\n", i/250, i%250),
		})
		if i%10 == 0 {
			docs = append(docs, settings.Document{
				Path: settings.AccountPath("t", fmt.Sprintf("a%05d", i)),
				Body: fmt.Appendf(nil, "key_sha256:\n  - %s\nweight: 1\n", settings.HashKey(fmt.Sprint(i))),
			})
		}
	}
	return docs
}

// BenchmarkAdvance applies one changed document on top of a large tree.
func BenchmarkAdvance(b *testing.B) {
	for _, servers := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			s := New(Options{Table: memtable.New(), Bus: membus.New().Join("entry-0", "h"), Rand: rand.New(rand.NewPCG(1, 1))})
			require.NoError(b, s.installDocs(1, merge(nil, largeTree(servers)), nil))
			revision := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				revision++
				doc := modelDoc("n", int(revision), 0)
				doc.Revision = revision
				require.NoError(b, s.advance([]logEntry{{Revision: revision, Documents: []settings.Document{doc}}}))
			}
		})
	}
}
