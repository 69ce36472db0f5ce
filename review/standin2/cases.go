//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	idempotent    = "idempotent"
	nonIdempotent = "non_idempotent"

	tickets  = "recibo-grano"
	payments = "liquidador"
)

// start writes the configuration and starts everything. losesAnswer may be nil.
func (d *deployment) start(losesAnswer func(upstream, run int) bool, routes ...route) error {
	if err := d.configure(routes...); err != nil {
		return err
	}
	for _, service := range []string{tickets, payments} {
		if err := d.startUpstreams(service, losesAnswer); err != nil {
			return err
		}
	}
	return d.startHosts()
}

// The payments of nestedRoutes may run once. A part of their paths has a route of its own, whose requests may be repeated.
var nestedRoutes = []route{{"/pagos/", nonIdempotent, payments, 1000}, {"/pagos/recibos/", idempotent, tickets, 1200}}

// pay sends a payment on a new connection and returns it with its answer.
func (d *deployment) pay(h *host, uri string) (*message, error) {
	c, err := d.dial("payer", h)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.conn.Close() }()
	m, head := c.head("PUT", uri, 1500, "Content-Length: 5")
	if err := c.send(head+"\r\n12345", m); err != nil {
		return nil, err
	}
	c.receive(m)
	return m, nil
}

// lossTime is the time for which upstreams lose answers.
const lossTime = 6 * time.Second

// lostAnswer sends payments whose path begins with that of a route for payments. Three of the six upstreams of each service lose the
// answers of three in ten of their runs, never more of their runs so far, for six seconds from the first request on.
func lostAnswer(d *deployment, trouble bool) ([]string, error) {
	var until atomic.Int64
	loses := func(upstream, run int) bool {
		return trouble && upstream < 3 && (run%10 == 4 || run%10 == 7 || run%10 == 0) && time.Now().UnixNano() < until.Load()
	}
	if err := d.start(loses, nestedRoutes...); err != nil {
		return nil, err
	}
	until.Store(time.Now().Add(lossTime).UnixNano())
	var mu sync.Mutex
	var sent []*message
	var failed error
	var clients sync.WaitGroup
	for i := range 120 {
		// The second path is that of an ordinary payment, for comparison.
		uri := fmt.Sprintf("/pagos/recibos%%2F%d|%d", i, i%7)
		if i%2 == 1 {
			uri = fmt.Sprintf("/pagos/recibos-%d", i)
		}
		clients.Go(func() {
			m, err := d.pay(d.hosts[i%machines], uri)
			mu.Lock()
			defer mu.Unlock()
			sent, failed = append(sent, m), firstError(failed, err)
		})
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	if failed != nil {
		return nil, failed
	}
	time.Sleep(500 * time.Millisecond)
	var broken []string
	for _, m := range sent {
		if runs := d.runsOf(m.id); len(runs) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: payment %s has run %d times, on %s and %s", m, len(runs), runs[0].upstream, runs[1].upstream))
		}
	}
	return broken, nil
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}
