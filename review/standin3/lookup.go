//go:build review3

package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

// lookupTimeout is the time that a client allows for each node that it asks.
const lookupTimeout = time.Second

// lookupAnswer is the answer of the directory.
type lookupAnswer struct {
	Addrs []string
	TtlS  float64
}

var lookupClient = &http.Client{Timeout: lookupTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: lookupTimeout}).DialContext}}

// lookup asks one node of the directory.
func lookup(h *host, name, region, domain string) (lookupAnswer, bool) {
	var a lookupAnswer
	query := url.Values{"Name": {name}, "Region": {region}, "Zone": {domain}}
	r, err := lookupClient.Get("http://" + h.lookup + "/lookup?" + query.Encode())
	if err != nil {
		return a, false
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil || r.StatusCode != http.StatusOK || json.Unmarshal(text, &a) != nil || len(a.Addrs) == 0 {
		return a, false
	}
	return a, true
}

// client is a client that asks the directory where to connect.
type client struct {
	w            *world
	name, domain string

	mu      sync.Mutex
	answer  lookupAnswer
	expires time.Time
	failed  map[string]bool
}

// nearest returns the hosts in the order in which a client of a domain asks them: those of its domain, of its region, and the others.
func (w *world) nearest(domain string) []*host {
	var order [3][]*host
	for _, h := range w.hosts {
		switch {
		case h.domain == domain:
			order[0] = append(order[0], h)
		case w.domains[h.domain] == w.domains[domain]:
			order[1] = append(order[1], h)
		default:
			order[2] = append(order[2], h)
		}
	}
	return slices.Concat(order[0], order[1], order[2])
}

// choose returns the address for a new connection. It asks up to three nodes once the latest answer has expired, and keeps that one if none
// answers.
func (c *client) choose() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) {
		for _, h := range c.w.nearest(c.domain)[:3] {
			if a, ok := lookup(h, c.name, c.w.domains[c.domain], c.domain); ok {
				c.answer, c.expires, c.failed = a, time.Now().Add(time.Duration(min(a.TtlS, 5)*float64(time.Second))), map[string]bool{}
				c.w.record.line("the directory at %s names %v to a client of %s", h.id, a.Addrs, c.domain)
				break
			}
		}
	}
	var usable []string
	for _, a := range c.answer.Addrs {
		if !c.failed[a] {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		c.expires = time.Time{}
		return ""
	}
	return usable[rand.IntN(len(usable))]
}

// fail records that an address has failed the client.
func (c *client) fail(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[address] = true
}
