// Package placement selects the backend server for each request and decides which requests are rejected. It does no I/O and takes
// the current time as an argument, so that tests can simulate it. A Table is not safe for concurrent use.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score returns the rendezvous hash of a pair of names. All hosts compute the same order without exchanging messages.
func score(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// weightedScore scales a score so that the probability of the highest score is proportional to the weight.
func weightedScore(score uint64, weight float64) float64 {
	return -weight / math.Log((float64(score>>11)+0.5)/(1<<53))
}

type scored[T any, S cmp.Ordered] struct {
	item  T
	score S
}

// topScored returns the count items with the highest scores in descending order. It reads the items once and is meant for small
// counts.
func topScored[T any, S cmp.Ordered](items []T, count int, of func(T) S) []T {
	count = min(count, len(items))
	if count == 0 {
		return nil
	}
	top := make([]scored[T, S], 0, count)
	for _, item := range items {
		s := scored[T, S]{item, of(item)}
		if len(top) == count {
			if s.score <= top[count-1].score {
				continue
			}
			top = top[:count-1]
		}
		i := len(top)
		for i > 0 && top[i-1].score < s.score {
			i--
		}
		top = slices.Insert(top, i, s)
	}
	out := make([]T, len(top))
	for i := range out {
		out[i] = top[i].item
	}
	return out
}

// isColdSender reports whether this host is among the count hosts that may send requests to a cold backend server.
func isColdSender(hosts []string, self, server string, count int) bool {
	return slices.Contains(topScored(hosts, count, func(h string) uint64 { return score(server, h) }), self)
}
