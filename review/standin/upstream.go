//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answer is what an upstream does with one request that it runs.
type answer struct {
	work time.Duration
	size int
	// garbled makes the request fail and the upstream spoil the status of this failure.
	garbled bool
}

// upstream is a server of a service. It runs slots requests at once, queues three times as many and rejects the others.
type upstream struct {
	id, service, zone string
	// address is where the upstream is reached.
	address    string
	slots      int
	deployment *deployment
	listener   net.Listener
	server     *http.Server
	// answerOf decides what happens to a request.
	answerOf func(r *http.Request) answer
	free     chan struct{}

	mu       sync.Mutex
	running  int
	waiting  int
	sequence int
	leaving  bool
	born     int64
}

func (d *deployment) startUpstream(id, service, zone string, slots int, answerOf func(r *http.Request) answer) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, deployment: d, listener: l, answerOf: answerOf, free: make(chan struct{}, slots), born: time.Now().UnixMilli()}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(l) }()
	d.upstreams = append(d.upstreams, u)
	d.kv.Put("servers/"+id, u.entry("ready"))
	return u, nil
}

// entry returns the next check-in of the upstream.
func (u *upstream) entry(state string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	data, _ := json.Marshal(map[string]any{
		"Service": u.service, "Addr": u.address, "Zone": u.zone, "Version": "v1", "Slots": u.slots,
		"State": state, "ColdLeftMs": 0, "Seq": u.sequence, "born": u.born,
	})
	return string(data)
}

func (u *upstream) setLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

func (u *upstream) isLeaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leaving
}

// enter waits for a slot. It returns false if the upstream is full or the caller leaves.
func (u *upstream) enter(r *http.Request) bool {
	u.mu.Lock()
	if u.running+u.waiting >= 4*u.slots {
		u.mu.Unlock()
		return false
	}
	u.waiting++
	u.mu.Unlock()
	entered := false
	select {
	case u.free <- struct{}{}:
		entered = true
	case <-r.Context().Done():
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
	if entered {
		u.running++
	}
	return entered
}

func (u *upstream) leave() {
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	<-u.free
}

func (u *upstream) load() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", u.running, u.waiting, u.slots)
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	header := w.Header()
	header.Set("X-Request-Id", id)
	if u.isLeaving() {
		header.Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != u.id {
		header.Set("X-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	u.deployment.record.log("%s: request %s %s reaches it", u.id, id, r.Method)
	deadline, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	until := time.Now().Add(time.Duration(deadline) * time.Millisecond)
	if !u.enter(r) {
		header.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		u.deployment.record.log("%s: request %s is rejected, not run", u.id, id)
		return
	}
	defer u.leave()
	u.deployment.record.log("%s: request %s runs", u.id, id)
	what := u.answerOf(r)
	status := http.StatusOK
	if time.Now().Add(what.work).After(until) {
		what.work, what.size, status = time.Until(until), 0, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(what.work):
	case <-r.Context().Done():
		u.deployment.record.log("%s: request %s is dropped, its connection was closed", u.id, id)
		return
	}
	stamp := fmt.Sprintf("%08x.%s", rand.Uint32(), u.id)
	header.Set("X-Server-Stamp", stamp)
	header.Set("X-Server-Load", u.load())
	if u.isLeaving() {
		header.Set("Server-Leaving", "1")
	}
	if what.garbled {
		u.deployment.record.log("%s: request %s fails; the status of the answer is spoiled: 000 Internal Server Error, stamp %s", u.id, id, stamp)
		u.deployment.addGarbled(id, stamp)
		sendGarbled(w, header)
		return
	}
	u.deployment.record.log("%s: request %s is answered %d, stamp %s", u.id, id, status, stamp)
	header.Set("Content-Length", strconv.Itoa(what.size))
	body := bytes.Repeat([]byte{'x'}, what.size)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// sendGarbled sends a failure whose status has a wrong first digit: "000" in place of "500".
func sendGarbled(w http.ResponseWriter, header http.Header) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	const body = "the request failed"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = buffered.WriteString("HTTP/1.1 000 Internal Server Error\r\n")
	_ = header.Write(buffered)
	_, _ = buffered.WriteString("\r\n" + body)
	_ = buffered.Flush()
}

// close ends the upstream with all its connections.
func (u *upstream) close() { _ = u.server.Close() }
