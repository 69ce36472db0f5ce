package lookup

import (
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/result"
)

const (
	// cacheMaxAge limits the age of cached responses within one liveness generation, because damped weights can change
	// without a new generation.
	cacheMaxAge = 2 * time.Second
	// cacheMaxEntries limits the memory of the cache. An entry takes about 2 KB. Once the cache is full, further responses
	// are built for each look-up.
	cacheMaxEntries = 4096
)

// cache holds the responses for one table and one liveness generation.
type cache struct {
	table      *Table
	generation uint64
	createdAt  time.Time

	mu      sync.RWMutex
	entries map[cacheKey]*cacheEntry
	sites   map[siteKey][]candidate
}

type cacheKey struct {
	service string
	order   uint16
}

type siteKey struct {
	service string
	site    uint16
}

// cacheEntry is a response, decoded and as JSON, or a failure.
type cacheEntry struct {
	response *Response
	json     []byte
	failure  *result.Failure
}

func newCache(table *Table, generation uint64, now time.Time) *cache {
	return &cache{
		table:      table,
		generation: generation,
		createdAt:  now,
		entries:    map[cacheKey]*cacheEntry{},
		sites:      map[siteKey][]candidate{},
	}
}

func (c *cache) isValid(table *Table, generation uint64, now time.Time) bool {
	return c != nil && c.table == table && c.generation == generation && now.Sub(c.createdAt) < cacheMaxAge
}

func (c *cache) get(key cacheKey) *cacheEntry {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.entries[key]
}

func (c *cache) put(key cacheKey, entry *cacheEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) < cacheMaxEntries {
		c.entries[key] = entry
	}
}

// candidatesAt returns the candidates of a site. It computes them on first use, and all site orders of the table share them.
func (c *cache) candidatesAt(key siteKey, view View, seed uint64) []candidate {
	c.mu.RLock()
	list, ok := c.sites[key]
	c.mu.RUnlock()
	if ok {
		return list
	}
	list = candidates(c.table.hostsAt[key.site], key.service, view, seed)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sites[key] = list
	return list
}
