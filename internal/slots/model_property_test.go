package slots_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/slots"
)

// modelVersions returns configuration versions that add and then remove the last host, in two steps each, and that remove
// slots and add them again.
func modelVersions(hosts int) []version {
	ids := []string{"a", "b", "c", "d"}[:hosts]
	wide := []slots.Backend{{ID: "s1", Service: "catalogue", Slots: 4}, {ID: "s2", Service: "payment", Slots: 3}}
	narrow := []slots.Backend{{ID: "s1", Service: "catalogue", Slots: 1}}
	last := ids[hosts-1]
	return []version{
		{hosts: ids[:hosts-1], backends: wide},
		{hosts: ids, retired: last, backends: narrow},
		{hosts: ids, backends: wide},
		{hosts: ids, retired: last, backends: wide},
		{hosts: ids[:hosts-1], backends: wide},
	}
}

// step applies one drawn fault or change and then advances the time.
func (sim *simulation) step(t *rapid.T) {
	p := sim.hosts[rapid.IntRange(0, len(sim.hosts)-1).Draw(t, "host")]
	q := sim.hosts[rapid.IntRange(0, len(sim.hosts)-1).Draw(t, "other")]
	switch rapid.SampledFrom([]string{
		"wait", "crash", "start", "start", "leave", "pause", "resume", "cut", "heal", "isolate",
		"list", "freeze", "publish", "upgrade", "restart", "loss", "replace", "replace", "replace", "long pause",
	}).Draw(t, "action") {
	case "crash":
		sim.crash(p)
	case "start":
		if !p.up {
			sim.start(p)
		}
	case "restart":
		sim.crash(p)
		sim.start(p)
	case "replace":
		sim.replace(t, p, q)
	case "long pause":
		sim.pause(p)
		sim.wait(t)
		sim.resume(p)
	case "leave":
		sim.leave(p)
	case "pause":
		sim.pause(p)
	case "resume":
		sim.resume(p)
	case "cut":
		sim.log("cut %s to %s", p.id, q.id)
		sim.cutLinks[[2]string{p.id, q.id}] = true
	case "isolate":
		sim.isolate(p)
	case "heal":
		sim.log("heal")
		clear(sim.cutLinks)
	case "list":
		sim.listDown = !sim.listDown
		sim.log("list down %v", sim.listDown)
	case "freeze":
		sim.frozenList = nil
		if sim.chance(0.5) && len(sim.history) > 0 {
			sim.frozenList = &sim.history[sim.rng.IntN(len(sim.history))]
		}
	case "publish":
		sim.publish()
	case "upgrade":
		sim.upgrade(p)
	case "loss":
		sim.lossRate, sim.lateRate = 0.3*sim.rng.Float64(), 0.3*sim.rng.Float64()
	}
	sim.run(rapid.SampledFrom([]time.Duration{0, 250, 750, 2000, 6000, 12000}).Draw(t, "ms") * time.Millisecond)
}

// wait advances the time by a period of the order of the bounds in slots.Options.
func (sim *simulation) wait(t *rapid.T) {
	sim.run(rapid.SampledFrom([]time.Duration{500, 2000, 13000, 28000}).Draw(t, "wait ms") * time.Millisecond)
}

// isolate cuts all links from and to a host.
func (sim *simulation) isolate(p *process) {
	sim.log("isolate %s", p.id)
	for _, q := range sim.hosts {
		if q != p {
			sim.cutLinks[[2]string{p.id, q.id}], sim.cutLinks[[2]string{q.id, p.id}] = true, true
		}
	}
}

// replace stops a process, starts it again and disturbs its join. Independently drawn steps rarely form these sequences.
func (sim *simulation) replace(t *rapid.T, p, q *process) {
	if rapid.Bool().Draw(t, "planned") {
		sim.leave(p)
	} else {
		sim.crash(p)
	}
	sim.wait(t)
	if rapid.Bool().Draw(t, "isolated") {
		sim.isolate(p)
	}
	sim.crash(p)
	sim.start(p)
	sim.run(time.Duration(rapid.IntRange(0, 3).Draw(t, "steps before")) * modelStep)
	switch rapid.IntRange(0, 4).Draw(t, "then") {
	case 0:
		sim.leave(p)
	case 1:
		sim.crash(q)
		sim.start(q)
	case 2:
		sim.isolate(p)
		sim.crash(q)
		sim.start(q)
	}
	sim.wait(t)
}

// endFaults ends all faults and waits for the time within which all slots must be usable again.
func (sim *simulation) endFaults() {
	clear(sim.cutLinks)
	sim.lossRate, sim.lateRate, sim.listDown, sim.frozenList = 0, 0, false, nil
	for _, p := range sim.hosts {
		sim.resume(p)
		for p.up && p.version < sim.headVersion {
			sim.upgrade(p)
		}
		p.leaving = p.leaving && p.up && p.tracker.TryDepart(sim.now)
	}
	o := sim.opts
	sim.run(2*(o.HostListMaxLag+o.EvidenceMaxAge) + 2*o.MaxRequest + 45*time.Second)
}

// checkLiveness fails if a slot is not usable by any running host.
func (sim *simulation) checkLiveness() {
	up, usable, want := 0, map[string]int{}, map[string]int{}
	for _, p := range sim.hosts {
		if !p.up || !sim.versions[sim.headVersion].lists(p.id) {
			continue
		}
		up++
		for _, b := range sim.versions[sim.headVersion].backends {
			usable[b.Service] += p.tracker.Usable(b.Service, sim.now)
		}
	}
	for _, b := range sim.versions[sim.headVersion].backends {
		want[b.Service] += b.Slots
	}
	if up == 0 || sim.versions[sim.headVersion].retired != "" {
		return
	}
	if fmt.Sprint(usable) != fmt.Sprint(want) {
		sim.fail("usable slots are %v after the faults ended, want %v", usable, want)
	}
}

// TestNoSlotIsUsedTwice guards against two hosts that use the same slot at once, for any behaviour of the network, the
// processes, the host list and the configuration within the documented bounds. It also guards against slots that no host
// may use after the faults have ended.
func TestNoSlotIsUsedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opts := slots.Options{
			HostListMaxLag: 10 * time.Second,
			EvidenceMaxAge: 5 * time.Second,
			MaxRequest:     rapid.SampledFrom([]time.Duration{2, 5, 10}).Draw(t, "max request") * time.Second,
			PauseLimit:     time.Second,
		}
		hosts := rapid.IntRange(2, 4).Draw(t, "hosts")
		var sim *simulation
		sim = newSimulation(rapid.Int64().Draw(t, "seed"), opts, modelVersions(hosts), func(format string, args ...any) {
			sim.log(format, args...)
			t.Fatalf("%s", strings.Join(sim.trace, "\n"))
		})
		sim.headVersion = rapid.SampledFrom([]int{0, 2, 2}).Draw(t, "head")
		for _, p := range sim.hosts {
			sim.start(p)
		}
		sim.run(rapid.SampledFrom([]time.Duration{0, 30}).Draw(t, "quiet start") * time.Second)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			sim.step(t)
		}
		sim.endFaults()
		sim.checkLiveness()
	})
}
