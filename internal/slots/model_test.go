package slots_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/slots"
)

const (
	modelStep = 250 * time.Millisecond
	modelHold = 100 * time.Millisecond
)

// request is one request at a backend server. It continues when its host crashes.
type request struct {
	host  string
	start time.Time
	end   time.Time
}

// takenSlot is a slot that a host process has taken.
type takenSlot struct {
	id        slots.ID
	at        time.Time
	releaseAt time.Time
	hold      time.Duration
	written   bool
}

// process is one entry host with its current process, if any.
type process struct {
	id          string
	tracker     *slots.Tracker
	incarnation membership.Incarnation
	version     int
	up          bool
	paused      bool
	pausedAt    time.Time
	leaving     bool
	takenSlots  []*takenSlot
	fetchAt     time.Time
}

// version is one configuration version.
type version struct {
	hosts    []string
	retired  string
	backends []slots.Backend
}

// simulation runs the trackers of one failure domain with a simulated network, host list and configuration.
type simulation struct {
	fail            func(format string, args ...any)
	rng             *rand.Rand
	now             time.Time
	opts            slots.Options
	hosts           []*process
	cutLinks        map[[2]string]bool
	inFlight        []message
	history         []snapshot
	listDown        bool
	frozenList      *snapshot
	lossRate        float64
	lateRate        float64
	lastIncarnation membership.Incarnation
	versions        []version
	headVersion     int
	running         map[slots.ID]request
	trace           []string
}

func newSimulation(seed int64, opts slots.Options, versions []version, fail func(string, ...any)) *simulation {
	sim := &simulation{
		fail: fail, rng: rand.New(rand.NewPCG(uint64(seed), 1)), now: time.Unix(1_000_000, 0), opts: opts,
		cutLinks: map[[2]string]bool{}, running: map[slots.ID]request{}, versions: versions,
	}
	for _, v := range versions {
		for _, id := range v.hosts {
			if sim.host(id) == nil {
				sim.hosts = append(sim.hosts, &process{id: id})
			}
		}
	}
	return sim
}

func (sim *simulation) log(format string, args ...any) {
	at := sim.now.Sub(time.Unix(1_000_000, 0)).Seconds()
	sim.trace = append(sim.trace, fmt.Sprintf("%7.2f ", at)+fmt.Sprintf(format, args...))
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// lists reports whether the version lists the host.
func (v version) lists(id string) bool {
	return slices.Contains(v.hosts, id)
}

// start starts the process of a host with the current configuration version or the one before. Version i+1 is published
// only when each running process has version i, see publish.
func (sim *simulation) start(p *process) {
	version := max(sim.headVersion-sim.rng.IntN(2), 0)
	if len(sim.history) == 0 {
		version = sim.headVersion
	}
	for !sim.versions[version].lists(p.id) {
		if version++; version > sim.headVersion {
			return
		}
	}
	sim.lastIncarnation++
	*p = process{id: p.id, up: true, incarnation: sim.lastIncarnation, version: version, fetchAt: sim.now}
	p.tracker = slots.New(p.id, p.incarnation, sim.now, sim.opts)
	sim.log("%s starts as %d with version %d", p.id, p.incarnation, p.version)
	sim.configure(p)
}

func (sim *simulation) configure(p *process) {
	v := sim.versions[p.version]
	p.tracker.SetRetired(v.retired == p.id, sim.now)
	p.tracker.SetConfig(v.hosts, v.backends, sim.now)
}

// publish publishes the next version once each running process has the current one.
func (sim *simulation) publish() {
	for _, p := range sim.hosts {
		if p.up && p.version < sim.headVersion {
			return
		}
	}
	if sim.headVersion+1 < len(sim.versions) && sim.mayRemove(sim.versions[sim.headVersion+1]) {
		sim.headVersion++
		sim.log("version %d", sim.headVersion)
	}
}

// mayRemove reports whether the hosts that the version removes are down and confirmed gone by some tracker.
func (sim *simulation) mayRemove(next version) bool {
	for _, id := range sim.versions[sim.headVersion].hosts {
		if next.lists(id) {
			continue
		}
		gone := false
		for _, p := range sim.hosts {
			gone = gone || p.up && !p.paused && slices.Contains(p.tracker.Gone(sim.now), id)
		}
		if !gone || sim.host(id).up {
			return false
		}
	}
	return true
}

func (sim *simulation) upgrade(p *process) {
	if p.up && !p.paused && p.version < sim.headVersion {
		p.version++
		sim.log("%s gets version %d", p.id, p.version)
		sim.configure(p)
	}
}

func (sim *simulation) crash(p *process) {
	if p.up {
		sim.log("%s crashes", p.id)
		p.up, p.paused = false, false
	}
}

func (sim *simulation) leave(p *process) {
	if p.up && !p.paused {
		sim.log("%s leaves", p.id)
		p.leaving = true
	}
}

// pause suspends a process, sometimes between Take and the write of a request.
func (sim *simulation) pause(p *process) {
	if !p.up || p.paused {
		return
	}
	if sim.chance(0.7) && !p.leaving {
		sim.take(p, false)
	}
	sim.log("%s pauses", p.id)
	p.paused, p.pausedAt = true, sim.now
}

// resume continues a paused process. The order of the pending write, the tick and the messages is random.
func (sim *simulation) resume(p *process) {
	if !p.paused {
		return
	}
	sim.log("%s resumes", p.id)
	p.paused = false
	if sim.chance(0.5) {
		sim.tick(p)
	}
	sim.writePending(p)
	if sim.chance(0.5) {
		sim.deliver()
		sim.take(p, true)
	}
	sim.tick(p)
}

func (sim *simulation) tick(p *process) {
	if !p.up || p.paused {
		return
	}
	p.tracker.Tick(sim.now)
	if p.tracker.Paused(sim.now) {
		sim.lastIncarnation++
		p.incarnation = sim.lastIncarnation
		sim.log("%s joins again as %d", p.id, p.incarnation)
		p.tracker.Rejoin(p.incarnation, sim.now)
	}
}

// take takes all slots that the process may use. With write false the requests are not written yet, so that the process can
// be paused before the write.
func (sim *simulation) take(p *process, write bool) {
	for _, b := range sim.versions[p.version].backends {
		for {
			id, ok := p.tracker.Take(b.ID, sim.now)
			if !ok {
				break
			}
			slot := &takenSlot{id: id, at: sim.now}
			p.takenSlots = append(p.takenSlots, slot)
			if write {
				sim.write(p, slot)
			}
		}
	}
}

func (sim *simulation) writePending(p *process) {
	for _, slot := range p.takenSlots {
		if !slot.written {
			sim.write(p, slot)
		}
	}
}

// write starts the request at the backend server and fails if another request still runs on the slot.
func (sim *simulation) write(p *process, slot *takenSlot) {
	slot.written = true
	slot.releaseAt = sim.now
	if !p.tracker.Writable(slot.id, sim.now) {
		return
	}
	d := sim.duration()
	end := sim.now.Add(d)
	slot.releaseAt = end
	if d < sim.opts.MaxRequest-modelHold && sim.chance(0.5) {
		slot.hold = modelHold
		end = end.Add(time.Duration(sim.rng.Int64N(int64(modelHold))))
	}
	if r, ok := sim.running[slot.id]; ok && r.end.After(sim.now) {
		sim.fail("%s (incarnation %d) writes on %v while a request of %s runs until +%s",
			p.id, p.incarnation, slot.id, r.host, r.end.Sub(sim.now))
	}
	sim.running[slot.id] = request{host: p.id, start: sim.now, end: end}
}

func (sim *simulation) duration() time.Duration {
	if sim.chance(0.1) {
		return sim.opts.MaxRequest
	}
	return time.Duration(sim.rng.Int64N(int64(min(sim.opts.MaxRequest, 2*time.Second))))
}

// release releases the slots whose requests have ended.
func (sim *simulation) release(p *process) {
	var rest []*takenSlot
	for _, slot := range p.takenSlots {
		if slot.written && !slot.releaseAt.After(sim.now) {
			p.tracker.Release(slot.id, sim.now, slot.hold)
			continue
		}
		rest = append(rest, slot)
	}
	p.takenSlots = rest
}

func (sim *simulation) heartbeat(p *process) {
	incarnation := p.incarnation
	for _, q := range sim.hosts {
		if q != p {
			sim.send(p, q, func(to *process) { to.tracker.RecordMessage(p.id, incarnation, sim.now) })
		}
	}
}

func (sim *simulation) join(p *process) {
	req := slots.JoinRequest{From: p.id, Incarnation: p.incarnation}
	for _, id := range p.tracker.JoinTargets(sim.now) {
		sim.send(p, sim.host(id), func(to *process) {
			reply := to.tracker.HandleJoin(req, sim.now)
			sim.send(to, p, func(back *process) { back.tracker.HandleJoinReply(to.id, reply, sim.now) })
		})
	}
}

// depart runs the last steps of a planned stop: the process requests tickets, sends its departure notices and exits.
func (sim *simulation) depart(p *process) {
	if !p.tracker.TryDepart(sim.now) {
		return
	}
	incarnation := p.incarnation
	for _, q := range sim.hosts {
		if q == p {
			continue
		}
		sim.send(p, q, func(to *process) {
			ticket := to.tracker.IssueTicket(p.id, sim.now)
			sim.send(to, p, func(back *process) {
				if back.incarnation == incarnation {
					sim.send(back, to, func(to *process) { to.tracker.Goodbye(p.id, incarnation, ticket, sim.now) })
				}
			})
		})
	}
	if sim.chance(0.2) {
		sim.log("%s exits", p.id)
		p.up = false
	}
}

func (sim *simulation) host(id string) *process {
	for _, p := range sim.hosts {
		if p.id == id {
			return p
		}
	}
	return nil
}

// run advances the simulation by d.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(modelStep)
		sim.recordHostStates()
		sim.deliver()
		for _, p := range sim.hosts {
			if p.up && !p.paused {
				sim.runProcess(p)
			}
		}
	}
}

func (sim *simulation) runProcess(p *process) {
	sim.tick(p)
	sim.release(p)
	sim.fetch(p)
	if sim.chance(0.5) {
		sim.heartbeat(p)
		sim.join(p)
	}
	if p.leaving {
		sim.depart(p)
		return
	}
	if sim.chance(0.7) {
		sim.take(p, true)
	}
}
