package steering

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

func shift(id string, fraction float64) policy.Shift {
	return policy.Shift{ID: id, Service: "all", From: "r0", To: "r1", Fraction: fraction, CapSlots: 5, RampMs: 10_000, StartUnixMs: epoch.UnixMilli()}
}

// A key that alternated between regions would reach cold caches twice, and a repeated request could go to another region.
func TestKeyStaysShiftedAsTheFractionGrows(t *testing.T) {
	snapshot := deployment(t, 2, 1, shift("x", 0.3), shift("y", 0.5))
	p := New(snapshot, "r0a0", "r0a", testRNG())
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.Uint64().Draw(t, "key")
		previous := ""
		for ms := -1000; ms <= 12_000; ms += 500 {
			id := ""
			if s, found := p.ShiftFor("all", "r0", key, epoch.Add(time.Duration(ms)*time.Millisecond)); found {
				id = s.ID
			}
			if previous != "" && id != previous {
				t.Fatalf("key %d went from shift %q to %q after %d ms", key, previous, id, ms)
			}
			if ms < 0 && id != "" {
				t.Fatalf("key %d moved before the start", key)
			}
			previous = id
		}
	})
}

// A shift must move its fraction and follow the ramp. Moving more would exceed the load that operators planned for.
func TestShiftFractionAndRamp(t *testing.T) {
	snapshot := deployment(t, 2, 1, shift("x", 0.3), shift("y", 0.5))
	p := New(snapshot, "r0a0", "r0a", testRNG())
	share := func(service, region string, after time.Duration) map[string]float64 {
		counts := map[string]float64{}
		const keys = 20000
		for key := range uint64(keys) {
			if s, found := p.ShiftFor(service, region, key, epoch.Add(after)); found {
				counts[s.ID] += 1.0 / keys
			}
		}
		return counts
	}
	near := func(got, want float64) {
		t.Helper()
		if got < want-0.015 || got > want+0.015 {
			t.Fatalf("moved %.3f, want %.3f", got, want)
		}
	}
	near(share("all", "r0", 0)["x"], 0)
	near(share("all", "r0", 5*time.Second)["x"], 0.15)
	near(share("all", "r0", 5*time.Second)["y"], 0.25)
	near(share("all", "r0", time.Minute)["x"], 0.3)
	near(share("all", "r0", time.Minute)["y"], 0.5)
	if len(share("all", "r1", time.Minute)) != 0 || len(share("first", "r0", time.Minute)) != 0 {
		t.Fatal("work of another region or service was moved")
	}
}

// Guards against spilled requests that exceed the cap of a shift: requests that spilled between its regions were not counted.
func TestShiftBetweenReturnsTheShiftForARegionPair(t *testing.T) {
	snapshot := deployment(t, 2, 1, policy.Shift{ID: "s1", Service: "all", From: "r0", To: "r1", Fraction: 0.1, CapSlots: 1})
	p := New(snapshot, "r0a0", "r0a", testRNG())
	if s := p.ShiftBetween("all", "r0", "r1"); s == nil || s.ID != "s1" {
		t.Fatalf("got %+v, want shift s1", s)
	}
	for _, c := range [][3]string{{"all", "r1", "r0"}, {"first", "r0", "r1"}, {"all", "r0", "r0"}} {
		if s := p.ShiftBetween(c[0], c[1], c[2]); s != nil {
			t.Errorf("%v: got %+v, want none", c, s)
		}
	}
}
