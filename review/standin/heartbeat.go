//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
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
	// The store executes a write without an answer up to lateBy later.
	lateBy = 6 * time.Second
	// stableWindow and drainBound are the bounds of the site.
	stableWindow = 3 * time.Second
	drainBound   = 2 * time.Second
	// leaverCount is the number of upstreams that leave, a quarter of all.
	leaverCount = 3
	// Each of them serves for serveAtLeast after its entry was removed, and then ends while it works on a request, at the latest after
	// serveAtMost.
	serveAtLeast = drainBound
	serveAtMost  = 8 * time.Second
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
	// lateArrival is closed at the first request later than drainBound after the removal.
	lateArrival chan struct{}
	sawLate     bool
}

func (l *leaver) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.arrivals = append(l.arrivals, arrival{id, now})
	if !l.leftAt.IsZero() && now.Sub(l.leftAt) > drainBound && !l.sawLate {
		l.sawLate = true
		close(l.lateArrival)
	}
}

// checkInLate makes a check-in whose answer the store loses, and which it executes later.
func (l *leaver) checkInLate(trouble bool) {
	key, entry, rec := "servers/"+l.id, l.entry("ready"), l.deployment.record
	if !trouble {
		l.deployment.kv.Put(key, entry)
		return
	}
	rec.log("impairment: the store does not answer a check-in of %s, and executes it %v later: %s", l.id, lateBy, entry)
	time.AfterFunc(lateBy, func() {
		rec.log("impairment: the store executes the check-in of %s", l.id)
		l.deployment.kv.Put(key, entry)
		time.Sleep(3 * checkIn)
		l.deployment.kv.Delete(key)
		rec.log("the platform removes the entry of %s after three check-in intervals of silence", l.id)
	})
}

// checkInNow makes a check-in that the store answers.
func (l *leaver) checkInNow() {
	entry := l.entry("ready")
	l.deployment.kv.Put("servers/"+l.id, entry)
	l.deployment.record.log("%s checks in: %s", l.id, entry)
}

// leave removes the entry and ends the upstream after the time for which it has to serve.
func (l *leaver) leave() {
	l.setLeaving()
	l.deployment.kv.Delete("servers/" + l.id)
	l.mu.Lock()
	l.leftAt = time.Now()
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

// runHeartbeat reports whether requests reach an upstream that has left, because an earlier check-in of it is executed late.
func runHeartbeat(r *run) (bool, error) {
	d, err := newDeployment(r.record, r.dir, map[string]string{"uus-a": "uusimaa", "uus-b": "uusimaa"}, kahvaBounds)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.configure(configurationOf(1, []rule{{"order", "non_idempotent", 400, 0, "/order/", "tilaus", 3000, 2}}, "tilaus")); err != nil {
		return false, err
	}
	var leavers []*leaver
	for i := range orderServers {
		l := &leaver{deployment: d, lateArrival: make(chan struct{})}
		l.upstream, err = d.startUpstream(fmt.Sprintf("i-%08x", i*0x9e3779b), "tilaus", []string{"uus-a", "uus-b"}[i%2], orderSlots, func(req *http.Request) answer {
			l.add(req.Header.Get("X-Request-Id"))
			return answer{work: time.Duration(float64(orderWork) * (0.85 + 0.3*rand.Float64())), size: 400}
		})
		if err != nil {
			return false, err
		}
		if i < leaverCount {
			leavers = append(leavers, l)
		}
	}
	for i := range orderHosts {
		zone := []string{"uus-a", "uus-b"}[i%2]
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
	for _, l := range leavers {
		l.checkInLate(r.trouble)
	}
	for range 2 {
		time.Sleep(checkIn)
		for _, l := range leavers {
			l.checkInNow()
		}
	}
	time.Sleep(stableWindow + 400*time.Millisecond - 2*checkIn)
	var leaving sync.WaitGroup
	for _, l := range leavers {
		leaving.Go(l.leave)
	}
	leaving.Wait()
	time.Sleep(2 * time.Second)
	orders.stop()
	reached, lost := 0, 0
	for _, l := range leavers {
		for _, a := range l.arrivals {
			sent := orders.sentAt[a.id].Sub(l.leftAt)
			if sent <= drainBound {
				continue
			}
			reached++
			o := orders.outcomes[a.id]
			if o.status != http.StatusOK {
				lost++
			}
			r.record.log("DRAIN: %s was sent %v after the removal of %s was acknowledged, and reached it; its client got status %d, error %v", a.id, sent, l.id, o.status, o.err)
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
