//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["returned-server"] = returnedServer }

const (
	// cutTime is the time for which three servers are partitioned from all machines and the store.
	cutTime = 7 * time.Second
	// heldUpCheckIn is the time after the beginning of the cut at which a check-in reaches the store that was sent 0.3 s after it. TCP sends it
	// again after pauses of 0.2, 0.4, 0.8, 1.6, 3.2 and 6.4 s; only the last of these ends after the cut.
	heldUpCheckIn = 300*time.Millisecond + 12600*time.Millisecond
	// missedCheckIns is the number of check-ins that are due during the cut.
	missedCheckIns = 5
	// orderTime is the time that an order takes. A server that has left ends endsAfter its first order after that.
	orderTime = 300 * time.Millisecond
	endsAfter = 200 * time.Millisecond
	// drainBound is DrainMs of the site.
	drainBound = 2 * time.Second
	// entryLife is the time without a check-in after which the platform removes an entry.
	entryLife = 3 * heartbeat
)

// leavingServer is a backend server that writes its entries itself.
type leavingServer struct {
	w        *world
	server   *server
	sequence int
}

func (s *leavingServer) entry(sequence int) string {
	text, _ := json.Marshal(map[string]any{
		"Service": s.server.service, "Addr": s.server.address, "Zone": s.server.domain, "Version": "v1", "Slots": s.server.slots, "State": "ready",
		"ColdLeftMs": 0, "Seq": sequence, "born": s.server.born,
	})
	return string(text)
}

func (s *leavingServer) key() string { return "servers/" + s.server.id }

// returnedServer lets three of twelve servers leave right after a partition, and kills one host then. A check-in that the partition held up reaches the store
// after that. It reports whether the host uses the servers again.
func returnedServer(w *world, trouble bool) bool {
	w.kahva()
	w.store.Put("op/config", configuration(1, "x.example", []route{{prefix: "/order/", kind: "non_idempotent", service: "s", timeoutMs: 1200, attempts: 2}}, nil))
	var mu sync.Mutex
	var due time.Time
	broken, hasLeft := 0, map[string]bool{}
	sentAt := map[string]time.Time{}
	handle := func(s *server, c *serverConn, r *http.Request, body []byte) bool {
		id, notice := r.Header.Get("X-Request-Id"), ""
		mu.Lock()
		if hasLeft[s.id] {
			sent := sentAt[id]
			w.record.line("%s, which has left, runs order %s", s.id, id)
			if !due.IsZero() && sent.After(due) {
				broken++
				w.record.line("BROKEN: it was sent %d ms after the host had to know", sent.Sub(due).Milliseconds())
				time.AfterFunc(endsAfter, s.end)
			}
			notice = "Server-Leaving: 1\r\n"
		}
		mu.Unlock()
		time.Sleep(orderTime)
		if s.cut.Load() {
			w.record.line("order %s was at work on %s when that ended", id, s.id)
			return false
		}
		answer(c, r, s, "200 OK", notice, "done")
		return true
	}
	for i, d := range []string{"uus-a", "pirk-a", "oulu-a", "uus-b", "pirk-b", "uus-a", "pirk-a", "oulu-a", "uus-b"} {
		w.newServer(fmt.Sprintf("i-%d", i), "s", d, 9, handle)
	}
	var leaving []*leavingServer
	for i := range 3 {
		s := &leavingServer{w: w, server: w.newQuietServer(fmt.Sprintf("i-leaving-%d", i), "s", "oulu-b", 9, handle), sequence: 10}
		w.store.Put(s.key(), s.entry(s.sequence))
		leaving = append(leaving, s)
	}
	w.startAll()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 100 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				id, h := newID(), w.hosts[rand.IntN(len(w.hosts))]
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				r := call(h.caller, http.MethodPost, "x.example", "/order/1", id, 3*time.Second, []byte("order"), "")
				w.record.line("order %s to %s: status %d, %v", id, h.id, r.status, r.err)
			}
		}()
	}
	cut := time.Now()
	for _, s := range leaving {
		if trouble {
			s.server.cut.Store(true)
		}
		s.sequence += missedCheckIns
	}
	w.record.line("three servers are cut off: %v", trouble)
	time.Sleep(cutTime)
	for _, s := range leaving {
		s.server.cut.Store(false)
		s.sequence++
		w.store.Put(s.key(), s.entry(s.sequence))
	}
	w.record.line("the cut has ended; the servers check in")
	time.Sleep(300 * time.Millisecond)
	mu.Lock()
	for _, s := range leaving {
		w.store.Delete(s.key())
		hasLeft[s.server.id] = true
	}
	mu.Unlock()
	left := time.Now()
	w.record.line("they leave: their entries are removed; they serve on for a while")
	killed := w.hosts[3]
	killed.kill()
	w.record.line("%s is killed", killed.id)
	time.Sleep(restartDelay)
	killed.start()
	started := time.Now()
	w.record.line("%s is started", killed.id)
	mu.Lock()
	for _, t := range []time.Time{left.Add(drainBound), started.Add(stableWindow), cut.Add(cutTime + stableWindow)} {
		if t.After(due) {
			due = t
		}
	}
	due = due.Add(checkMargin)
	mu.Unlock()
	time.Sleep(time.Until(cut.Add(heldUpCheckIn)))
	if trouble {
		for _, s := range leaving {
			w.store.Put(s.key(), s.entry(s.sequence-missedCheckIns))
		}
		w.record.line("check-ins that the cut held up reach the store, the first of the five")
	}
	time.Sleep(time.Until(cut.Add(heldUpCheckIn + entryLife)))
	for _, s := range leaving {
		w.store.Delete(s.key())
	}
	w.record.line("the platform removes the entries of silent servers")
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	w.record.line("%d orders ran on servers that had left, sent later than %v after that to a machine in touch", broken, drainBound)
	fmt.Println(broken)
	return broken == 0
}
