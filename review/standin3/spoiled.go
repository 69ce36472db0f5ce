//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["spoiled-version"] = spoiledVersion }

const (
	// garblePeriods is the number of times for which garbling servers spoil garbleShare of their answers, each garbleTime long. Every second
	// server garbles.
	garblePeriods = 3
	garbleTime    = 5 * time.Second
	garblePause   = 2 * time.Second
	garbleShare   = 0.05
	// closeShare is the share of answers that say "Connection: close".
	closeShare = 0.25
)

// responseOf returns the body of the answer to a request.
func responseOf(id string) string { return strings.Repeat(`{"order":"`+id+`","paid":true}`, 4) }

// spoiledVersion lets servers spoil a byte of some of their answers: the version in the status line reads HTTP/1.0. It reports whether clients get
// such answers as successes with a body that is not that of the server.
func spoiledVersion(w *world, trouble bool) bool {
	w.kahva()
	w.store.Put("op/config", configuration(1, "x.example", []route{
		{prefix: "/look/", kind: "idempotent", service: "s", timeoutMs: 4000, attempts: 2}, {prefix: "/order/", kind: "non_idempotent", service: "s", timeoutMs: 1200, attempts: 2}}, nil))
	var garbling atomic.Bool
	var mu sync.Mutex
	spoiled := map[string]bool{}
	for i := range 12 {
		w.newServer(fmt.Sprintf("i-%d", i), "s", []string{"uus-a", "pirk-a", "oulu-a", "uus-b", "pirk-b", "oulu-b"}[i%6], 20, func(s *server, c *serverConn, r *http.Request, body []byte) bool {
			time.Sleep(10 * time.Millisecond)
			id, version, last, text := r.Header.Get("X-Request-Id"), "HTTP/1.1", "", responseOf(r.Header.Get("X-Request-Id"))
			if rand.Float64() < closeShare {
				last = "Connection: close\r\n"
			}
			if i%2 == 0 && garbling.Load() && rand.Float64() < garbleShare {
				version = "HTTP/1.0"
				mu.Lock()
				spoiled[id] = true
				mu.Unlock()
				w.record.line("%s spoils the version in its answer to %s; it closes the connection: %v", s.id, id, last != "")
			}
			fmt.Fprintf(c, "%s 200 OK\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s.%s\r\nX-Server-Load: 1,0,%d\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", version, id, s.id, id, s.slots, last, len(text), text)
			return last == ""
		})
	}
	w.startAll()
	var wrong, right, other atomic.Int64
	stop := time.Now().Add(garblePeriods * (garbleTime + garblePause))
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(stop) {
				id, method, path := newID(), http.MethodGet, "/look/1"
				if i%3 == 0 {
					method, path = http.MethodPost, "/order/1"
				}
				r := call(w.hosts[rand.IntN(len(w.hosts))].caller, method, "x.example", path, id, 3*time.Second, nil, "")
				switch {
				case r.err != nil || r.status != http.StatusOK:
					other.Add(1)
				case string(r.body) == responseOf(id):
					right.Add(1)
				default:
					wrong.Add(1)
					w.record.line("MIXED: %s %s %s gets 200 with stamp %q and the body %q", method, path, id, r.header.Get("X-Server-Stamp"), r.body)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	for range garblePeriods {
		garbling.Store(trouble)
		time.Sleep(garbleTime)
		garbling.Store(false)
		time.Sleep(garblePause)
	}
	wg.Wait()
	w.record.line("%d successes with the server's body, %d with another body, %d failures or refusals; %d answers were spoiled", right.Load(), wrong.Load(), other.Load(), len(spoiled))
	fmt.Println(right.Load(), "right,", wrong.Load(), "wrong,", other.Load(), "other")
	return wrong.Load() == 0
}
