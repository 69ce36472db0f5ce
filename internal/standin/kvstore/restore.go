package kvstore

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Copy is the content of a store at one time.
type Copy struct {
	items     map[string]Item
	history   []Item
	ttls      map[uint64]time.Duration
	revision  uint64
	compacted uint64
}

// Copy returns a copy of the content, the leases and the history.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{items: maps.Clone(s.items), history: slices.Clone(s.history), ttls: map[uint64]time.Duration{}, revision: s.revision, compacted: s.compacted}
	for id, l := range s.leases {
		c.ttls[id] = 0
		if l != nil {
			c.ttls[id] = l.ttl
		}
	}
	return c
}

// Restore replaces the content by a copy. What was written after the copy is lost, also leases, and revisions and lease ids are assigned
// again. Leases of the copy start anew. Each restoration begins an era, which all responses state from then on. A watch from a
// revision that the store does not have gets 410; other open watches wait on.
func (s *Store) Restore(c *Copy) {
	s.restoring.Lock()
	defer s.restoring.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		if l != nil {
			l.timer.Stop()
		}
	}
	s.items, s.history, s.revision, s.compacted = maps.Clone(c.items), slices.Clone(c.history), c.revision, c.compacted
	s.leases = map[uint64]*lease{}
	for id, ttl := range c.ttls {
		s.leases[id] = nil
		if ttl > 0 {
			s.start(id, &lease{ttl: ttl})
		}
	}
	if stated, err := strconv.ParseUint(s.eraText, 10, 24); err == nil {
		s.era = max(s.era, stated)
	}
	s.era++
	s.eraText = strconv.FormatUint(s.era, 10)
	close(s.changed)
	s.changed = make(chan struct{})
}

// StateEra sends a text as the era in all responses until the next restoration. Without it and before the first restoration the store sends
// no such header.
func (s *Store) StateEra(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eraText = text
}

// stateEra sets the header of a response. The caller holds the lock.
func (s *Store) stateEra(w http.ResponseWriter) {
	if s.eraText != "" {
		w.Header().Set("Store-Era", s.eraText)
	}
}
