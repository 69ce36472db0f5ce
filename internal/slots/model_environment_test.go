package slots_test

import (
	"sort"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/hostlist"
)

// message is a message in flight. deliver is called with the process that runs on the receiving host at delivery.
type message struct {
	at      time.Time
	to      *process
	deliver func(to *process)
}

// snapshot is the actual state of the hosts at a time. The host list shows a snapshot of up to HostListMaxLag ago.
type snapshot struct {
	at   time.Time
	live map[string]hostlist.State
}

// send sends a message, which may be lost, delayed or duplicated.
func (sim *simulation) send(from, to *process, deliver func(*process)) {
	if sim.cutLinks[[2]string{from.id, to.id}] || sim.chance(sim.lossRate) {
		return
	}
	for {
		delay := time.Duration(sim.rng.Int64N(int64(50 * time.Millisecond)))
		if sim.chance(sim.lateRate) {
			delay = time.Duration(sim.rng.Int64N(int64(40 * time.Second)))
		}
		sim.inFlight = append(sim.inFlight, message{at: sim.now.Add(delay), to: to, deliver: deliver})
		if !sim.chance(sim.lateRate) {
			return
		}
	}
}

// deliver delivers the messages that are due. A paused process receives them when it resumes.
func (sim *simulation) deliver() {
	var rest, due []message
	for _, m := range sim.inFlight {
		if m.at.After(sim.now) || m.to.paused {
			rest = append(rest, m)
			continue
		}
		due = append(due, m)
	}
	sim.inFlight = rest
	sort.SliceStable(due, func(i, j int) bool { return due[i].at.Before(due[j].at) })
	for _, m := range due {
		if m.to.up {
			m.deliver(m.to)
		}
	}
}

// recordHostStates adds the current state of the hosts to the history from which fetch chooses.
func (sim *simulation) recordHostStates() {
	s := snapshot{at: sim.now, live: map[string]hostlist.State{"other": hostlist.Live}}
	for _, p := range sim.hosts {
		if p.up && (!p.paused || sim.now.Sub(p.pausedAt) <= sim.opts.PauseLimit) {
			s.live[p.id] = hostlist.Live
		}
	}
	sim.history = append(sim.history, s)
	for sim.now.Sub(sim.history[0].at) > sim.opts.HostListMaxLag {
		sim.history = sim.history[1:]
	}
}

// fetch requests the host list. The response shows any state within HostListMaxLag and may arrive late.
func (sim *simulation) fetch(p *process) {
	if sim.listDown || sim.now.Before(p.fetchAt) {
		return
	}
	p.fetchAt = sim.now.Add(2 * time.Second)
	s := sim.history[len(sim.history)-1]
	switch {
	case sim.frozenList != nil:
		s = *sim.frozenList
		if sim.now.Sub(s.at) > sim.opts.HostListMaxLag {
			return
		}
	case sim.chance(0.4):
		s = sim.history[0]
	case sim.chance(0.5):
		s = sim.history[sim.rng.IntN(len(sim.history))]
	}
	list := hostlist.List{Hosts: s.live, FetchedAt: sim.now}
	incarnation := p.incarnation
	sim.send(p, p, func(to *process) {
		if to.incarnation == incarnation {
			to.tracker.ObserveList(list, sim.now)
		}
	})
}
