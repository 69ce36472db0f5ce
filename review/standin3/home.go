//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["home"] = homeDuringRoll }

// homeDuringRoll stops and starts the hosts of one region in turn. Clients of the region send requests of a route that has this region as
// its home.
func homeDuringRoll(w *world, trouble bool) bool {
	w.kahva()
	w.store.Put("op/config", configuration(1, "x.example", []route{{prefix: "/h/", kind: "non_idempotent", service: "s", timeoutMs: 4000, attempts: 2, homes: []string{"oulu"}}}, nil))
	for i, d := range []string{"oulu-a", "oulu-a", "oulu-b", "oulu-b"} {
		w.newServer(fmt.Sprintf("i-%d", i), "s", d, 9, func(s *server, c *serverConn, r *http.Request, body []byte) bool {
			w.record.line("%s runs %s", s.id, r.Header.Get("X-Request-Id"))
			answer(c, r, s, "200 OK", "", "done")
			return true
		})
	}
	w.startAll()
	byAddress := map[string]*host{}
	for _, h := range w.hosts {
		byAddress[h.caller] = h
	}
	var mu sync.Mutex
	sent, away := 0, 0
	stop := time.Now().Add(40 * time.Second)
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{w: w, name: "x.example", domain: []string{"oulu-a", "oulu-b"}[i%2]}
			for time.Now().Before(stop) {
				time.Sleep(100 * time.Millisecond)
				address := c.choose()
				h := byAddress[address]
				if h == nil {
					continue
				}
				id := newID()
				r := call(address, http.MethodPost, "x.example", "/h/1", id, 3*time.Second, []byte("personal data"), "")
				w.record.line("a client of %s sent %s to %s: %d %v", c.domain, id, h.id, r.status, r.err)
				if r.err != nil {
					c.fail(address)
				}
				mu.Lock()
				sent++
				if w.domains[h.domain] != "oulu" {
					away++
				}
				mu.Unlock()
			}
		}()
	}
	if trouble {
		for _, h := range w.hosts {
			if w.domains[h.domain] != "oulu" {
				continue
			}
			w.record.line("SIGTERM to %s", h.id)
			h.signal(syscall.SIGTERM)
			<-h.done
			w.record.line("%s has ended", h.id)
			time.Sleep(restartDelay)
			h.start()
			h.waitReady()
			w.record.line("%s runs again", h.id)
			time.Sleep(3 * time.Second)
		}
	}
	wg.Wait()
	w.record.line("%d of %d requests were sent to hosts outside of the home region and the region of the client; allowed is 1 in 20", away, sent)
	fmt.Println(away, "of", sent)
	return away*20 <= sent
}
