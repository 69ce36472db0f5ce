package lookup_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/lookup"
	"github.com/foxtailtack/foxtailtack/internal/policy"
)

var targetSize = deploymentSize{regions: 6, domains: 18, sites: 49, hosts: 480}

func targetSnapshot(b *testing.B, blocks int) *policy.Snapshot {
	n := targetSize
	n.blocks = blocks
	return compile(b, deployment(n))
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkCompile(b *testing.B) {
	for _, blocks := range []int{1_000, 10_000, 160_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			snapshot := targetSnapshot(b, blocks)
			before := heapBytes()
			built, err := lookup.Compile(snapshot, "domain-0")
			if err != nil {
				b.Fatal(err)
			}
			bytes := heapBytes() - before
			for b.Loop() {
				_, _ = lookup.Compile(snapshot, "domain-0")
			}
			b.ReportMetric(float64(bytes), "table-bytes")
			b.ReportMetric(float64(built.Orders()), "orders")
		})
	}
}

// BenchmarkRecompile measures building the table of a version in which one host or one block changed.
func BenchmarkRecompile(b *testing.B) {
	for _, change := range []string{"host", "block"} {
		b.Run("changed="+change, func(b *testing.B) {
			previous, err := lookup.Compile(targetSnapshot(b, 160_000), "domain-0")
			if err != nil {
				b.Fatal(err)
			}
			n := targetSize
			n.blocks = 160_000
			doc := deployment(n)
			if change == "host" {
				doc.Hosts[3].Retired = true
			} else {
				doc.Blocks[150_000].Sites = []string{"site-1"}
			}
			next := compile(b, doc)
			for b.Loop() {
				_, _ = lookup.Recompile(previous, next, "domain-0")
			}
		})
	}
}

func clientAddresses(n int) []netip.Addr {
	list := make([]netip.Addr, n)
	for i := range list {
		k := i * 7907 % 160_000
		list[i] = netip.AddrFrom4([4]byte{byte(20 + k>>16), byte(k >> 8), byte(k), 9})
	}
	return list
}

func BenchmarkResolve(b *testing.B) {
	snapshot := targetSnapshot(b, 160_000)
	built, err := lookup.Compile(snapshot, "domain-0")
	if err != nil {
		b.Fatal(err)
	}
	list := clientAddresses(4096)
	view := allServingView(snapshot.Document, 3)
	for _, name := range []string{"cached", "new generation each 667"} {
		b.Run(name, func(b *testing.B) {
			resolver := lookup.NewResolver("h000")
			resolver.SetTable(built)
			i := 0
			for b.Loop() {
				if name != "cached" && i%667 == 0 {
					view.generation.Add(1)
				}
				_, _ = resolver.ResolveJSON("catalogue", list[i%len(list)], view, start)
				i++
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "look-ups/s")
		})
	}
}
