//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/kvstore"
)

func init() { cases["withdrawn-key"] = withdrawnKey }

const (
	// configurationBound is ConfigMs of the site.
	configurationBound = 2 * time.Second
	// awayTime is the length of an outage of the store. darkBefore is the time before its end at which machines lose power.
	awayTime   = 8 * time.Second
	darkBefore = 1500 * time.Millisecond
	// outages is the number of outages, watched the time after each in which requests are sent.
	outages = 5
	watched = 6 * time.Second
)

// withdrawnKey takes the key of a customer away right after an outage of the store, in which six of eight machines have lost power. The two
// others run all the time. It reports whether they refuse the key once they have to.
func withdrawnKey(w *world, trouble bool) bool {
	w.kahva()
	version := 0
	put := func(key string) {
		version++
		w.store.Put("op/config", configuration(version, "x.example", []route{{prefix: "/a/", kind: "non_idempotent", service: "s", timeoutMs: 1200, attempts: 2}},
			map[string]any{"Tenants": []any{map[string]any{"Name": "mill", "ApiKeys": []string{"key-that-stays", key}}}}))
		w.record.line("version %d is acknowledged: the keys are key-that-stays and %s", version, key)
	}
	put("key-0")
	var mu sync.Mutex
	ran := map[string]bool{}
	for i, d := range []string{"uus-a", "pirk-a", "oulu-a", "oulu-b"} {
		w.newServer(fmt.Sprintf("i-%d", i), "s", d, 9, func(s *server, c *serverConn, r *http.Request, body []byte) bool {
			mu.Lock()
			ran[r.Header.Get("X-Request-Id")] = true
			mu.Unlock()
			answer(c, r, s, "200 OK", "", "done")
			return true
		})
	}
	w.startAll()
	calm, others := []*host{w.hosts[0], w.hosts[2]}, []*host(nil)
	for _, h := range w.hosts {
		if h != calm[0] && h != calm[1] {
			others = append(others, h)
		}
	}
	broken := 0
	for n := range outages {
		key := fmt.Sprintf("key-%d", n)
		if trouble {
			w.record.line("outage %d: the store answers 503", n+1)
			w.store.SetFault(kvstore.Busy)
		}
		time.Sleep(awayTime - darkBefore)
		if trouble {
			for _, h := range others {
				h.signal(syscall.SIGSTOP)
				w.record.line("%s is dark", h.id)
			}
		}
		time.Sleep(darkBefore)
		w.store.SetFault(kvstore.None)
		back := time.Now()
		w.record.line("the store answers")
		put(fmt.Sprintf("key-%d", n+1))
		due := time.Now().Add(configurationBound)
		if stable := back.Add(stableWindow); stable.After(due) {
			due = stable
		}
		due = due.Add(checkMargin)
		for time.Since(back) < watched {
			for _, h := range calm {
				id, sent := newID(), time.Now()
				r := call(h.caller, http.MethodPost, "x.example", "/a/1", id, 2*time.Second, []byte("x"), "X-Api-Key: "+key+"\r\n")
				mu.Lock()
				hasRun := ran[id]
				mu.Unlock()
				w.record.line("%s sent to %s with %s, %d ms after the return of the store: status %d, ran: %v", id, h.id, key, sent.Sub(back).Milliseconds(), r.status, hasRun)
				if hasRun && sent.After(due) {
					broken++
					w.record.line("BROKEN: it was sent %d ms too late for the withdrawn key", sent.Sub(due).Milliseconds())
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		if trouble {
			for _, h := range others {
				h.kill()
				h.start()
			}
			for _, h := range others {
				h.waitReady()
			}
			w.record.line("the dark machines run again")
			time.Sleep(4 * time.Second)
		}
	}
	w.record.line("%d requests with a withdrawn key ran at machines in touch", broken)
	return broken == 0
}
