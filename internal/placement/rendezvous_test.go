package placement

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

// The selection in one pass must return the same items in the same order as sorting all of them. Hosts that disagree on the order
// send the requests for an object to different servers.
func TestTopScoredEqualsSortedOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := rapid.SliceOfDistinct(rapid.Uint64(), func(n uint64) uint64 { return n }).Draw(t, "items")
		count := rapid.IntRange(0, 8).Draw(t, "count")
		want := slices.SortedFunc(slices.Values(items), func(a, b uint64) int { return cmp.Compare(b, a) })
		got := topScored(items, count, func(n uint64) uint64 { return n })
		if !slices.Equal(got, want[:min(count, len(want))]) {
			t.Fatalf("got %v, want the first %d of %v", got, count, want)
		}
	})
}

// BenchmarkChoose measures one decision by the number of servers of a service.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{36, 180, 1170, 3000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			table, _ := tableOf(count)
			route := &catalog.Route{SLO: time.Second, Sticky: true}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.Choose(&Request{Route: route, Service: "s", Object: objectNames[i%len(objectNames)], Deadline: t0.Add(time.Minute)}, t0)
			}
		})
	}
}

var objectNames = []string{"a", "b", "c", "d", "e", "f", "g", "h"}
