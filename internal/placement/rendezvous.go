// Package placement decides where a request runs and when it is rejected. Its decisions do no I/O, take the time as an
// argument and are replayed by tests. A Table is not safe for concurrent use.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score is the rendezvous weight of a pair of names. All hosts compute the same order without messages.
func score(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	return d.Sum64()
}

type scored[T any] struct {
	item  T
	score uint64
}

// highest returns the count items with the highest scores, the highest first.
func highest[T any](items []T, count int, of func(T) uint64) []T {
	list := make([]scored[T], len(items))
	for i, item := range items {
		list[i] = scored[T]{item, of(item)}
	}
	slices.SortFunc(list, func(a, b scored[T]) int { return cmp.Compare(b.score, a.score) })
	out := make([]T, min(count, len(list)))
	for i := range out {
		out[i] = list[i].item
	}
	return out
}

// owns reports whether this host is among the count hosts that may send work to a cold backend server.
func owns(hosts []string, self, server string, count int) bool {
	return slices.Contains(highest(hosts, count, func(h string) uint64 { return score(server, h) }), self)
}
