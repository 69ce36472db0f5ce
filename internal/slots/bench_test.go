package slots_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/slots"
)

// largeConfig returns the hosts and backend servers of a large failure domain, with host a as the last host.
func largeConfig(hosts, servers int) (ids []string, backends []slots.Backend) {
	for i := range hosts {
		ids = append(ids, fmt.Sprintf("host-%02d", i))
	}
	for i := range servers {
		backends = append(backends, slots.Backend{ID: fmt.Sprintf("server-%04d", i), Service: "grain-receipt", Slots: 9})
	}
	return append(ids[min(1, len(ids)):], "a"), backends
}

func BenchmarkTakeRelease(b *testing.B) {
	c := newReady([]string{"a"}, server9)
	for b.Loop() {
		id, ok := c.tracker.Take("s1", c.now)
		if !ok {
			b.Fatal("no slot")
		}
		c.tracker.Release(id, c.now, 0)
	}
}

func BenchmarkTakeReleaseWithHold(b *testing.B) {
	c := newReady([]string{"a"}, server9)
	for b.Loop() {
		id, ok := c.tracker.Take("s1", c.now)
		if !ok {
			b.Fatal("no slot")
		}
		c.tracker.Release(id, c.now, 100*time.Nanosecond)
		c.now = c.now.Add(100 * time.Nanosecond)
		c.tracker.Tick(c.now)
	}
}

func BenchmarkSetConfig(b *testing.B) {
	hosts, backends := largeConfig(27, 1000)
	b.Run("first", func(b *testing.B) {
		for b.Loop() {
			slots.New("a", 1, epoch, testOptions).SetConfig(hosts, backends, epoch)
		}
	})
	b.Run("one server changed", func(b *testing.B) {
		tracker := slots.New("a", 1, epoch, testOptions)
		tracker.SetConfig(hosts, backends, epoch)
		for b.Loop() {
			backends[500].Slots = 17 - backends[500].Slots
			tracker.SetConfig(hosts, backends, epoch)
		}
	})
	b.Run("list", func(b *testing.B) {
		c := newReady(hosts, backends)
		for b.Loop() {
			c.now = c.now.Add(time.Millisecond)
			c.list("host-05")
			c.tracker.Tick(c.now)
		}
	})
}
