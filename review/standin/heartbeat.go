//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/network"
)

// The deployment of this case: paid orders of the operators' spares site.
const (
	orderWork     = 600 * time.Millisecond
	orderDeadline = 3 * time.Second
	orderGap      = 57 * time.Millisecond
	orderServers  = 12
	orderSlots    = 3
	orderHosts    = 8
	checkIn       = 1500 * time.Millisecond
	// cutFor is the time for which the zone of the leaving upstreams is partitioned from the others.
	cutFor = 4 * time.Second
	// Two check-ins of each fall into this time, of which the network delivers the second first. These are the times from sending to
	// delivery for a packet that is sent again after 225 ms and then after twice as long each time.
	firstHeldUp  = 6975 * time.Millisecond
	secondHeldUp = 3375 * time.Millisecond
	// stableWindow and drainBound are the bounds of the site.
	stableWindow = 3 * time.Second
	drainBound   = 2 * time.Second
	// leaverCount is the number of upstreams that leave, a quarter of all.
	leaverCount = 3
	// Each of them serves for serveAtLeast after its entry was removed, and then ends while it works on a request, at the latest after
	// serveAtMost.
	serveAtLeast = drainBound
	serveAtMost  = 9 * time.Second
	// endDelay is the time for which an upstream works on such a request before it ends.
	endDelay = 300 * time.Millisecond
)

var kahvaBounds = map[string]string{
	"GraceS": "6", "ttl_max_s": "5", "StableWindowMs": "3000", "ConfigMs": "2000", "DrainMs": "2000", "EvacMs": "5000",
	"RetryRatio": "0.2", "RetrySlack": "56",
}

// arrival is a request that an upstream has begun to run.
type arrival struct {
	id string
	at time.Time
}

// leaver is an upstream that leaves without the report that it drains.
type leaver struct {
	*upstream
	deployment *deployment
	leftAt     time.Time

	mu       sync.Mutex
	arrivals []arrival
	// lateFrom is the time from which no request may reach the upstream. lateArrival is closed when one does.
	lateFrom    time.Time
	lateArrival chan struct{}
	sawLate     bool
}

func (l *leaver) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.arrivals = append(l.arrivals, arrival{id, now})
	if !l.lateFrom.IsZero() && now.After(l.lateFrom) && !l.sawLate {
		l.sawLate = true
		close(l.lateArrival)
	}
}

// checkInHeldUp makes a check-in during the partition. Its bytes are delivered after a time, and the upstream gets no answer.
func (l *leaver) checkInHeldUp(trouble bool, heldUp time.Duration) {
	if !trouble {
		l.checkInNow()
		return
	}
	key, entry, rec := "servers/"+l.id, l.entry("ready"), l.deployment.record
	rec.log("%s checks in and gets no answer, its zone is partitioned: %s", l.id, entry)
	time.AfterFunc(heldUp, func() {
		rec.log("the held-up check-in of %s reaches the store and is executed: %s", l.id, entry)
		l.deployment.kv.Put(key, entry)
	})
}

// expire removes the entry after three check-in intervals of silence.
func (l *leaver) expire() {
	time.AfterFunc(3*checkIn, func() {
		l.deployment.kv.Delete("servers/" + l.id)
		l.deployment.record.log("the platform removes the entry of %s after three check-in intervals of silence", l.id)
	})
}

// checkInNow makes a check-in that the store answers.
func (l *leaver) checkInNow() {
	entry := l.entry("ready")
	l.deployment.kv.Put("servers/"+l.id, entry)
	l.deployment.record.log("%s checks in: %s", l.id, entry)
}

// leave removes the entry and ends the upstream after the time for which it has to serve.
func (l *leaver) leave(healed time.Time) {
	l.setLeaving()
	l.deployment.kv.Delete("servers/" + l.id)
	l.mu.Lock()
	l.leftAt = time.Now()
	l.lateFrom = l.leftAt.Add(drainBound)
	if stable := healed.Add(stableWindow); stable.After(l.lateFrom) {
		l.lateFrom = stable
	}
	l.mu.Unlock()
	l.deployment.record.log("%s leaves: the store acknowledges that its entry is removed", l.id)
	select {
	case <-l.lateArrival:
		time.Sleep(endDelay)
	case <-time.After(serveAtMost):
	}
	l.close()
	l.deployment.record.log("%s ends, %v after the removal of its entry", l.id, time.Since(l.leftAt))
}

// zoneLink is the path between the zone of the leaving upstreams and the other zones.
type zoneLink struct {
	relay  *network.Relay
	record *record
}

func newZoneLink(rec *record) *zoneLink {
	return &zoneLink{relay: network.New(func(_, _ netip.Addr) network.Link { return network.Link{} }), record: rec}
}

// set partitions the zone or ends the partition.
func (z *zoneLink) set(cut bool) {
	z.record.log("impairment: partition of the zone: %v", cut)
	z.relay.SetRule(func(_, _ netip.Addr) network.Link { return network.Link{Silent: cut} })
}

// addressOf returns an address on which the upstream is reached through the link.
func (z *zoneLink) addressOf(u *upstream) (string, error) {
	target, err := netip.ParseAddrPort(u.listener.Addr().String())
	if err != nil {
		return "", err
	}
	address, err := z.relay.Listen(netip.MustParseAddrPort("127.0.0.1:0"), target, netip.Addr{})
	if err != nil {
		return "", err
	}
	return address.String(), nil
}

// runHeartbeat reports whether requests reach an upstream that has left, because earlier check-ins of it reach the store late.
func runHeartbeat(r *run) (bool, error) {
	zones := map[string]string{"uus-a": "uusimaa", "pirk-a": "pirkanmaa", "oulu-a": "oulu"}
	d, err := newDeployment(r.record, r.dir, zones, kahvaBounds)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.configure(configurationOf(1, []rule{{"order", "non_idempotent", 400, 0, "/order/", "tilaus", 3000, 2}}, "tilaus")); err != nil {
		return false, err
	}
	link := newZoneLink(r.record)
	defer link.relay.Close()
	var leavers []*leaver
	for i := range orderServers {
		l := &leaver{deployment: d, lateArrival: make(chan struct{})}
		zone := []string{"uus-a", "pirk-a"}[i%2]
		if i < leaverCount {
			zone = "oulu-a"
			leavers = append(leavers, l)
		}
		l.upstream, err = d.startUpstream(fmt.Sprintf("i-%08x", i*0x9e3779b), "tilaus", zone, orderSlots, func(req *http.Request) answer {
			l.add(req.Header.Get("X-Request-Id"))
			return answer{work: time.Duration(float64(orderWork) * (0.85 + 0.3*rand.Float64())), size: 400}
		})
		if err != nil {
			return false, err
		}
	}
	for _, l := range leavers {
		if l.address, err = link.addressOf(l.upstream); err != nil {
			return false, err
		}
		l.checkInNow()
	}
	for i := range orderHosts {
		zone := []string{"uus-a", "pirk-a"}[i%2]
		if _, err := d.startHost(fmt.Sprintf("front-%s-%d", zone, 1+i/2), zone, memoryLimitMB); err != nil {
			return false, err
		}
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	orders := startOrders(d)
	time.Sleep(time.Second)
	each := func(do func(l *leaver)) {
		for _, l := range leavers {
			do(l)
		}
	}
	each(func(l *leaver) { l.checkInNow() })
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	link.set(r.trouble)
	time.Sleep(checkIn - 200*time.Millisecond)
	each(func(l *leaver) { l.checkInHeldUp(r.trouble, firstHeldUp) })
	time.Sleep(checkIn)
	each(func(l *leaver) { l.checkInHeldUp(r.trouble, secondHeldUp) })
	time.Sleep(time.Until(began.Add(cutFor)))
	link.set(false)
	healed := time.Now()
	time.Sleep(time.Until(began.Add(3*checkIn - 200*time.Millisecond)))
	each(func(l *leaver) { l.checkInNow() })
	time.Sleep(300 * time.Millisecond)
	var leaving sync.WaitGroup
	for _, l := range leavers {
		leaving.Go(func() { l.leave(healed) })
	}
	time.AfterFunc(time.Until(began.Add(checkIn-200*time.Millisecond+firstHeldUp)), func() { each((*leaver).expire) })
	leaving.Wait()
	time.Sleep(2 * time.Second)
	orders.stop()
	reached, lost := 0, 0
	for _, l := range leavers {
		for _, a := range l.arrivals {
			if !orders.sentAt[a.id].After(l.lateFrom) {
				continue
			}
			reached++
			o := orders.outcomes[a.id]
			if o.status != http.StatusOK {
				lost++
			}
			r.record.log("DRAIN: %s was sent %v after the removal of %s was acknowledged and %v after the end of the partition, and reached it; its client got status %d, error %v",
				a.id, orders.sentAt[a.id].Sub(l.leftAt), l.id, orders.sentAt[a.id].Sub(healed), o.status, o.err)
		}
	}
	summary := fmt.Sprintf("%d requests were sent later than %v after an upstream's removal and reached it; %d of them were lost at work; %d requests in all", reached, drainBound, lost, len(orders.outcomes))
	r.record.log("%s", summary)
	fmt.Println(summary)
	return reached > 0, nil
}

// orders are the requests of clients that arrive at a steady rate.
type orders struct {
	ended    chan struct{}
	clients  sync.WaitGroup
	mu       sync.Mutex
	sentAt   map[string]time.Time
	outcomes map[string]outcome
}

func startOrders(d *deployment) *orders {
	o := &orders{ended: make(chan struct{}), sentAt: map[string]time.Time{}, outcomes: map[string]outcome{}}
	o.clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-o.ended:
				return
			case <-time.After(orderGap):
			}
			req := &request{id: newRequestID(), method: http.MethodPut, path: "/order/7", object: fmt.Sprint(rand.IntN(1000)), body: "the order", deadline: orderDeadline}
			o.mu.Lock()
			o.sentAt[req.id] = time.Now()
			o.mu.Unlock()
			o.clients.Go(func() {
				result := sendAll(d.record, d.hosts[n%len(d.hosts)].front, []*request{req})[0]
				o.mu.Lock()
				o.outcomes[req.id] = result
				o.mu.Unlock()
			})
		}
	})
	return o
}

// stop ends the clients and waits for their answers.
func (o *orders) stop() {
	close(o.ended)
	o.clients.Wait()
}
