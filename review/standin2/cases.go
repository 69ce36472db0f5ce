//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
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

// lostAnswer sends payments whose path begins with that of a route for payments. Three of the six upstreams of each service lose the
// answers of three in ten of their runs for six seconds.
func lostAnswer(d *deployment, trouble bool) ([]string, error) {
	loses := func(upstream, run int) bool { return trouble && upstream < 3 && run%10%3 == 2 }
	if err := d.start(loses, nestedRoutes...); err != nil {
		return nil, err
	}
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

// encodedPath sends requests with a path that has a percent-encoded slash and, as the disruption, a character that browsers do not encode.
func encodedPath(d *deployment, trouble bool) ([]string, error) {
	if err := d.start(nil, nestedRoutes...); err != nil {
		return nil, err
	}
	separator := "-"
	if trouble {
		separator = "|"
	}
	var broken []string
	for i := range 20 {
		m, err := d.pay(d.hosts[i%machines], fmt.Sprintf("/pagos/recibos%%2F%d%s%d", i, separator, i%7))
		if err != nil {
			return nil, err
		}
		for _, run := range d.runsOf(m.id) {
			if run.uri != m.uri || run.method != m.method {
				broken = append(broken, fmt.Sprintf("UNASKED: upstream %s has run %s %s, the client has sent %s", run.upstream, run.method, run.uri, m))
			}
			if run.service != payments {
				broken = append(broken, fmt.Sprintf("ROUTE: %s has run on %s of %s, its route allows only %s", m, run.upstream, run.service, payments))
			}
		}
	}
	return broken, nil
}

// serverOptions sends requests on kept connections and, as the disruption, a request for the options of the server in between.
func serverOptions(d *deployment, trouble bool) ([]string, error) {
	if err := d.start(nil, route{"/tiquetes/", idempotent, tickets, 1200}); err != nil {
		return nil, err
	}
	var broken []string
	for i := range 10 {
		c, err := d.dial(fmt.Sprint(i), d.hosts[i%machines])
		if err != nil {
			return nil, err
		}
		var messages []*message
		for j := range 3 {
			method, uri := "GET", "/tiquetes/7"
			if j == 1 {
				if !trouble {
					continue
				}
				method, uri = "OPTIONS", "*"
			}
			m, head := c.head(method, uri, 2500)
			if err := c.send(head+"\r\n", m); err != nil {
				return nil, err
			}
			c.receive(m)
			messages = append(messages, m)
		}
		_ = c.conn.Close()
		for _, m := range messages {
			if m.status/100 == 2 && !m.stamped {
				broken = append(broken, fmt.Sprintf("MIXED: the client gets a success (%d) without X-Server-Stamp to %s, which has run %d times", m.status, m, len(d.runsOf(m.id))))
			}
		}
	}
	return broken, nil
}

// firstRequest is the form of the first request of a connection.
type firstRequest struct {
	name    string
	headers []string
	// waits is true if the client sends the body after an interim response.
	waits bool
}

var firstRequests = []firstRequest{
	{name: "a plain request"},
	{name: "Expect", headers: []string{"Expect: 100-continue"}, waits: true},
	{name: "Upgrade", headers: []string{"Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA"}},
}

// stopAfterExpect stops a machine while clients wait for the answers to two requests that they have sent behind each other. The connections
// had another request before, some of them one with "Expect: 100-continue" or with the offer of another protocol.
func stopAfterExpect(d *deployment, trouble bool) ([]string, error) {
	if err := d.start(nil, route{"/tiquetes/", idempotent, tickets, 1200}, route{"/turnos/", nonIdempotent, tickets, 1200}); err != nil {
		return nil, err
	}
	stopped := d.hosts[0]
	var clients []*client
	for i := range 12 {
		first := firstRequests[i%len(firstRequests)]
		c, err := d.dial(fmt.Sprintf("%d, %s before,", i, first.name), stopped)
		if err != nil {
			return nil, err
		}
		defer func() { _ = c.conn.Close() }()
		if err := c.reserve(first); err != nil {
			return nil, err
		}
		clients = append(clients, c)
	}
	pairs := make([][]*message, len(clients))
	for i, c := range clients {
		first, head1 := c.head("GET", fmt.Sprintf("/tiquetes/%d", i), 2500, workHeader+": 480")
		second, head2 := c.head("GET", fmt.Sprintf("/tiquetes/%d", i), 2500, workHeader+": 480")
		pairs[i] = []*message{first, second}
		if err := c.send(head1+"\r\n"+head2+"\r\n", first, second); err != nil {
			return nil, err
		}
	}
	sent := time.Now()
	time.Sleep(50 * time.Millisecond)
	table, err := readSockets()
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(sent.Add(200 * time.Millisecond)))
	if late := time.Since(sent); late > 400*time.Millisecond {
		return nil, fmt.Errorf("the signal would come %v after the requests, when they are answered", late)
	}
	if trouble {
		d.note("SIGTERM to %s", stopped.name)
		if err := stopped.process.Process.Signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
	}
	read := make([]bool, len(clients))
	for i, c := range clients {
		unread := table.unreadAtHost(c)
		read[i] = unread == 0
		d.note("client %s: before the signal the process had not read %d bytes of its requests", c.name, unread)
	}
	var receivers sync.WaitGroup
	for i, c := range clients {
		receivers.Go(func() { c.receive(pairs[i]...) })
	}
	receivers.Wait()
	var broken []string
	for i, pair := range pairs {
		for _, m := range pair {
			if after := m.endedAt.Sub(m.sentAt); m.status == 0 && read[i] && after > lossSlack {
				broken = append(broken, fmt.Sprintf("LOST: client %s: the process has read %s, and the connection ends without an answer %d ms after it was sent", clients[i].name, m, after.Milliseconds()))
			}
		}
	}
	return broken, nil
}

// reserve sends a reservation with a body as the first request of the connection and reads its answer.
func (c *client) reserve(first firstRequest) error {
	body := strings.Repeat("x", 1200)
	m, head := c.head("POST", "/turnos/3", 3000, append([]string{fmt.Sprintf("Content-Length: %d", len(body))}, first.headers...)...)
	if err := c.send(head + "\r\n"); err != nil {
		return err
	}
	if first.waits {
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
	}
	if err := c.send(body, m); err != nil {
		return err
	}
	c.receive(m)
	if m.status != 200 {
		return fmt.Errorf("the reservation gets the status %d", m.status)
	}
	return nil
}

// stopBehindLargeBody stops a machine. Two seconds later clients send three requests behind each other, of which the second has a large body.
func stopBehindLargeBody(d *deployment, trouble bool) ([]string, error) {
	if err := d.start(nil, route{"/tablas/", idempotent, tickets, 2000}, route{"/planos/", "upload", payments, 8000}); err != nil {
		return nil, err
	}
	stopped := d.hosts[0]
	var clients []*client
	for i := range 16 {
		c, err := d.dial(fmt.Sprintf("%d, body of %d bytes,", i, bodyBytes(i)), stopped)
		if err != nil {
			return nil, err
		}
		defer func() { _ = c.conn.Close() }()
		clients = append(clients, c)
	}
	if trouble {
		d.note("SIGTERM to %s", stopped.name)
		if err := stopped.process.Process.Signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	sent := make([][]*message, len(clients))
	var receivers sync.WaitGroup
	for i, c := range clients {
		first, head1 := c.head("GET", "/tablas/1", 6000, workHeader+": 1240")
		upload, head2 := c.head("POST", "/planos/1", 8000, fmt.Sprintf("Content-Length: %d", bodyBytes(i)))
		last, head3 := c.head("GET", "/tablas/1", 6000)
		sent[i] = []*message{first, upload, last}
		if err := c.send(head1+"\r\n"+head2+"\r\n"+strings.Repeat("x", bodyBytes(i))+head3+"\r\n", sent[i]...); err != nil {
			return nil, err
		}
		receivers.Go(func() { c.receive(sent[i]...) })
	}
	receivers.Wait()
	time.Sleep(100 * time.Millisecond)
	table, err := readSockets()
	if err != nil {
		return nil, err
	}
	var broken []string
	for i, c := range clients {
		unread := table.unreadAtHost(c)
		d.note("client %s: the process has not read %d bytes of its requests", c.name, unread)
		for _, m := range sent[i] {
			if after := m.endedAt.Sub(m.sentAt); m.status == 0 && unread == 0 && after > lossSlack {
				broken = append(broken, fmt.Sprintf("LOST: client %s: the process has read %s, and the connection ends without an answer %d ms after it was sent", c.name, m, after.Milliseconds()))
			}
		}
	}
	return broken, nil
}

// bodyBytes returns the length of the body of a client's upload: usual ones, and large ones.
func bodyBytes(client int) int {
	if client%2 == 0 {
		return 20_000
	}
	return 200_000
}
