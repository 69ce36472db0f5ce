package backend

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// BenchmarkPick compares rules for the choice of a backend server by a queueing model with a virtual clock: 10 backend
// servers of 3 slots, which are split over 3 entry hosts at random, and a queue for each entry host. A request takes an
// exponential time with a mean of 20 ms, times 1 + 0.3 for each other request on the backend server. One backend server
// is twice as slow. The metrics are percentiles of the time from arrival to completion.
func BenchmarkPick(b *testing.B) {
	rules := []struct {
		name   string
		choose func([]candidate, *rand.Rand) candidate
	}{
		{"first", func(l []candidate, _ *rand.Rand) candidate { return l[0] }},
		{"random", func(l []candidate, rng *rand.Rand) candidate { return l[rng.IntN(len(l))] }},
		{"two", lessLoadedOfTwo},
		{"least", func(l []candidate, rng *rand.Rand) candidate {
			rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
			return slices.MinFunc(l, func(a, b candidate) int {
				if lessLoaded(a, b) == a {
					return -1
				}
				return 1
			})
		}},
	}
	for _, load := range []struct {
		name string
		// perSecond is the arrival rate.
		perSecond float64
	}{{"light", 300}, {"normal", 600}, {"heavy", 800}} {
		for _, rule := range rules {
			b.Run(load.name+"/"+rule.name, func(b *testing.B) {
				var m queueModel
				for range b.N {
					m = newQueueModel(7, rule.choose)
					m.run(load.perSecond, 200_000)
				}
				slices.Sort(m.latencies)
				b.ReportMetric(float64(m.latencies[len(m.latencies)/2])/float64(time.Millisecond), "p50-ms")
				b.ReportMetric(float64(m.latencies[len(m.latencies)*99/100])/float64(time.Millisecond), "p99-ms")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

const (
	modelServers = 10
	modelSlots   = 3
	modelHosts   = 3
)

type modelEvent struct {
	at           time.Duration
	arrival      bool
	host, server int
	arrived      time.Duration
}

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type queueModel struct {
	rng       *rand.Rand
	choose    func([]candidate, *rand.Rand) candidate
	serverIDs []string
	// usable and inUse count slots by host and server.
	usable, inUse [modelHosts][modelServers]int
	running       [modelServers]int
	homes         []int
	queues        [modelHosts][]time.Duration
	events        modelEvents
	latencies     []time.Duration
}

func newQueueModel(seed uint64, choose func([]candidate, *rand.Rand) candidate) queueModel {
	m := queueModel{rng: rand.New(rand.NewPCG(seed, 3)), choose: choose}
	for s := range modelServers {
		m.serverIDs = append(m.serverIDs, string(rune('a'+s)))
		for range modelSlots {
			host := m.rng.IntN(modelHosts)
			m.usable[host][s]++
			// Requests are distributed over the hosts in proportion to their slots.
			m.homes = append(m.homes, host)
		}
	}
	return m
}

func (m *queueModel) run(perSecond float64, count int) {
	at := time.Duration(0)
	for range count {
		at += time.Duration(m.rng.ExpFloat64() / perSecond * float64(time.Second))
		heap.Push(&m.events, modelEvent{at: at, arrival: true, host: m.homes[m.rng.IntN(len(m.homes))], arrived: at})
	}
	for m.events.Len() > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		if e.arrival {
			m.queues[e.host] = append(m.queues[e.host], e.arrived)
		} else {
			m.inUse[e.host][e.server]--
			m.running[e.server]--
			m.latencies = append(m.latencies, e.at-e.arrived)
		}
		m.serve(e.host, e.at)
	}
}

func (m *queueModel) serve(host int, now time.Duration) {
	for len(m.queues[host]) > 0 {
		server, ok := m.pick(host)
		if !ok {
			return
		}
		arrived := m.queues[host][0]
		m.queues[host] = m.queues[host][1:]
		mean := 20 * time.Millisecond
		if server == 0 {
			mean *= 2
		}
		d := time.Duration(m.rng.ExpFloat64() * float64(mean) * (1 + 0.3*float64(m.running[server])))
		m.inUse[host][server]++
		m.running[server]++
		heap.Push(&m.events, modelEvent{at: now + d, host: host, server: server, arrived: arrived})
	}
}

func (m *queueModel) pick(host int) (int, bool) {
	var list []candidate
	for s := range modelServers {
		if used, usable := m.inUse[host][s], m.usable[host][s]; used < usable {
			list = append(list, candidate{id: m.serverIDs[s], usedShare: float64(used) / float64(usable)})
		}
	}
	if len(list) == 0 {
		return 0, false
	}
	return slices.Index(m.serverIDs, m.choose(list, m.rng).id), true
}

// TestRoundRobin guards against a baseline that does not choose the backend servers in a fixed cyclic order.
func TestRoundRobin(t *testing.T) {
	s := newRegistryFixture(t)
	s.registry = NewRegistry(RegistryOptions{RoundRobin: true})
	s.registry.Configure(snapshotOf(t, []string{"a", "b", "c"}, nil), "d", epoch)
	var order string
	for range 6 {
		id, _ := s.registry.Pick("s", s.available(), nil, epoch, s.rng)
		order += id
	}
	if order != "bcabca" {
		t.Errorf("order %s", order)
	}
}
