package lookup

import (
	"encoding/json"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailtack/foxtailtack/internal/result"
)

// retryWhileLeaving is the retry delay sent while every host is leaving. A replacement host takes seconds to start.
const retryWhileLeaving = 2 * time.Second

// Resolver resolves look-ups to entry hosts. Its methods are safe for concurrent use.
type Resolver struct {
	seed  uint64
	table atomic.Pointer[Table]
	cache atomic.Pointer[cache]
}

// NewResolver returns a Resolver without a table. Resolvers with different host ids select different hosts of a site that
// has more hosts than fit into a response.
func NewResolver(hostID string) *Resolver {
	return &Resolver{seed: xxhash.Sum64String(hostID)}
}

// SetTable sets the table for the following look-ups.
func (r *Resolver) SetTable(t *Table) { r.table.Store(t) }

// Table returns the current table, or nil if none has been set.
func (r *Resolver) Table() *Table { return r.table.Load() }

// Resolve returns the entry hosts for a client of a service. An invalid client address counts as a client without a block.
// The response is shared and must not be modified. Resolve fails with UnknownService, with NotReady if there is no table,
// or with HostLeaving if every host is retired or leaving.
func (r *Resolver) Resolve(service string, client netip.Addr, view View, now time.Time) (*Response, *result.Failure) {
	entry, failure := r.resolveCached(service, client, view, now)
	if failure != nil {
		return nil, failure
	}
	return entry.response, nil
}

// ResolveJSON is like Resolve and returns the response encoded as JSON. The bytes are shared and must not be modified.
func (r *Resolver) ResolveJSON(service string, client netip.Addr, view View, now time.Time) ([]byte, *result.Failure) {
	entry, failure := r.resolveCached(service, client, view, now)
	if failure != nil {
		return nil, failure
	}
	return entry.json, nil
}

func (r *Resolver) resolveCached(service string, client netip.Addr, view View, now time.Time) (*cacheEntry, *result.Failure) {
	table := r.table.Load()
	if table == nil {
		return nil, result.Fail(result.NotReady, "no configuration yet")
	}
	cache := r.currentCache(table, view.Generation(), now)
	key := cacheKey{service: service, order: table.order(client.Unmap())}
	entry := cache.get(key)
	if entry == nil {
		newEntry, failure := r.buildEntry(cache, key, view)
		if failure != nil {
			return nil, failure
		}
		cache.put(key, newEntry)
		entry = newEntry
	}
	return entry, entry.failure
}

// currentCache returns the cache for a table and a generation. It replaces the cache if that one is stale.
func (r *Resolver) currentCache(table *Table, generation uint64, now time.Time) *cache {
	current := r.cache.Load()
	if current.isValid(table, generation, now) {
		return current
	}
	replacement := newCache(table, generation, now)
	// If another goroutine has replaced the cache first, this look-up uses its own cache and discards it.
	r.cache.CompareAndSwap(current, replacement)
	return replacement
}

// buildEntry builds a cache entry. The failure for an unknown service is not cached, because callers choose the service
// name and could exhaust the memory.
func (r *Resolver) buildEntry(c *cache, key cacheKey, view View) (*cacheEntry, *result.Failure) {
	service := c.table.snapshot.Service(key.service)
	if service == nil {
		return nil, result.Fail(result.UnknownService, "service %q is not configured", key.service)
	}
	b := builder{
		table:        c.table,
		service:      service,
		order:        key.order,
		candidatesAt: func(site uint16) []candidate { return c.candidatesAt(siteKey{service.Name, site}, view, r.seed) },
		isLeaving:    func(id string) bool { return view.Host(id, service.Name).isLeaving() },
		overflowShare: func(domain string) float64 {
			return view.Overflow(domain, service.Name)
		},
	}
	response := b.build()
	if len(response.Hosts) == 0 {
		failure := result.Fail(result.HostLeaving, "each entry host is leaving or retired").After(retryWhileLeaving)
		return &cacheEntry{failure: failure}, nil
	}
	encoded, err := json.Marshal(response)
	if err != nil {
		return nil, result.Fail(result.Internal, "cannot encode look-up response: %v", err)
	}
	return &cacheEntry{response: response, json: encoded}, nil
}
