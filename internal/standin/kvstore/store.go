// Package kvstore stands in for the operators' platform: its key-value store with leases and watches. It is not shipped.
package kvstore

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of items of one page.
const pageSize = 500

// Fault is how the store treats calls.
type Fault int

// Faults.
const (
	// None answers all calls.
	None Fault = iota
	// Busy answers 503 without doing anything.
	Busy
	// Limited answers 429.
	Limited
	// Reset closes the connection before anything is done.
	Reset
	// Lost carries the call out and closes the connection without an answer.
	Lost
	// Silent answers nothing until the fault ends or the caller leaves.
	Silent
	// Deaf answers all calls, but a watch that begins now hears of no change until the caller leaves.
	Deaf
)

// Item is an entry of the store.
type Item struct {
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Rev     uint64 `json:"Rev"`
	Created uint64 `json:"Created,omitempty"`
	Lease   uint64 `json:"Lease,omitempty"`
	Deleted bool   `json:"Deleted,omitempty"`
}

// Store is an http.Handler.
type Store struct {
	mu       sync.Mutex
	items    map[string]Item
	history  []Item
	leases   map[uint64]*lease
	revision uint64
	// compacted is the revision up to which the history is gone.
	compacted uint64
	changed   chan struct{}
	fault     Fault
	// faultEnded is closed when a fault ends; cut is closed to end watches that wait.
	faultEnded chan struct{}
	// copied and copiedAt are what reads get that allow old entries, nil for the current ones.
	copied   map[string]Item
	copiedAt uint64
	cut      chan struct{}
	// waiting is the number of watches that wait for a change.
	waiting int
	// era counts the restorations. eraText is the header that states it in all responses; none is sent while it is empty.
	era     uint64
	eraText string
	// restoring is held for reading while a call other than a watch is answered, so that the header is of the era of the answer.
	restoring sync.RWMutex
	calls     map[string]int
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// New returns an empty store.
func New() *Store {
	return &Store{
		items: map[string]Item{}, leases: map[uint64]*lease{}, revision: 1, changed: make(chan struct{}),
		faultEnded: make(chan struct{}), cut: make(chan struct{}), calls: map[string]int{},
	}
}

// SetFault treats later calls as the fault says.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	close(s.faultEnded)
	s.faultEnded = make(chan struct{})
}

// Compact drops the history and ends watches that wait.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
	close(s.cut)
	s.cut = make(chan struct{})
}

// FreezeCopies has reads that allow old entries answered as of now.
func (s *Store) FreezeCopies() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied, s.copiedAt = maps.Clone(s.items), s.revision
}

// Put writes an entry as the operator or a backend server does.
func (s *Store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, []byte(value), 0)
}

// Delete removes an entry.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Get returns an entry.
func (s *Store) Get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	return item, ok
}

// Waiting returns the number of watches that wait for a change.
func (s *Store) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

func (s *Store) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += n
}

// Calls returns the number of calls to a path, such as "/kv-watch".
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

func (s *Store) set(key string, value []byte, leaseID uint64) {
	s.revision++
	item := Item{Key: key, Value: value, Rev: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.record(item)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(Item{Key: key, Rev: s.revision, Deleted: true})
}

func (s *Store) record(item Item) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	s.mu.Lock()
	s.calls["/"+path]++
	fault, ended := s.fault, s.faultEnded
	s.stateEra(w)
	s.mu.Unlock()
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Limited:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case Reset:
		panic(http.ErrAbortHandler)
	case Silent:
		select {
		case <-ended:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	case Deaf:
		if path == "kv-watch" {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, body := s.route(w, r, path, id)
	if fault == Lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) route(w http.ResponseWriter, r *http.Request, path, id string) (int, any) {
	if r.Method+" "+path == "GET kv-watch" {
		return s.watch(w, r)
	}
	s.restoring.RLock()
	defer s.restoring.RUnlock()
	s.mu.Lock()
	s.stateEra(w)
	s.mu.Unlock()
	switch r.Method + " " + path {
	case "GET kv-key":
		return s.key(r)
	case "GET kv-range":
		return s.list(r)
	case "POST kv-txn":
		return s.transact(r)
	case "POST kv-lease":
		return s.grant(r)
	case "POST kv-keep":
		return s.keep(id)
	case "DELETE kv-lease-end":
		return s.end(id)
	default:
		return http.StatusNotFound, nil
	}
}

type keyAnswer struct {
	Item
	AsOf uint64 `json:"AsOf"`
}

func (s *Store) key(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.URL.Query().Get("Key")]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, keyAnswer{item, s.revision}
}

type rangeAnswer struct {
	Items   []Item `json:"items"`
	HasMore bool   `json:"HasMore"`
	AsOf    uint64 `json:"AsOf"`
}

func (s *Store) list(r *http.Request) (int, any) {
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := rangeAnswer{Items: []Item{}, AsOf: s.revision}
	items := s.items
	if s.copied != nil && r.URL.Query().Get("StaleOk") == "1" {
		items, answer.AsOf = s.copied, s.copiedAt
	}
	for key, item := range items {
		if strings.HasPrefix(key, prefix) && key > after {
			answer.Items = append(answer.Items, item)
		}
	}
	slices.SortFunc(answer.Items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	if len(answer.Items) > pageSize {
		answer.Items, answer.HasMore = answer.Items[:pageSize], true
	}
	return http.StatusOK, answer
}

type watchAnswer struct {
	Events []Item `json:"events"`
	AsOf   uint64 `json:"AsOf"`
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) (int, any) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("WaitMs"))
	if err != nil || err2 != nil {
		return http.StatusBadRequest, nil
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.addWaiting(1)
	defer s.addWaiting(-1)
	for {
		s.mu.Lock()
		s.stateEra(w)
		if after < s.compacted || s.era > 0 && after > s.revision {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		answer := watchAnswer{Events: []Item{}, AsOf: max(after, s.revision)}
		for _, item := range s.history {
			if item.Rev > after && strings.HasPrefix(item.Key, query.Get("Prefix")) {
				answer.Events = append(answer.Events, item)
			}
		}
		changed, cut := s.changed, s.cut
		s.mu.Unlock()
		if len(answer.Events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, answer
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

type transaction struct {
	IfRev []struct {
		Key string `json:"Key"`
		Rev uint64 `json:"Rev"`
	} `json:"IfRev"`
	SetKeys []struct {
		Key   string `json:"Key"`
		Value []byte `json:"Value"`
		Lease uint64 `json:"Lease"`
	} `json:"SetKeys"`
	Remove []string `json:"Remove"`
}

type conflictAnswer struct {
	Items []Item `json:"items"`
}

type revisionAnswer struct {
	Rev uint64 `json:"Rev"`
}

func (s *Store) transact(r *http.Request) (int, any) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	current := conflictAnswer{Items: []Item{}}
	for _, c := range t.IfRev {
		item, ok := s.items[c.Key]
		conflict = conflict || item.Rev != c.Rev
		if ok {
			current.Items = append(current.Items, item)
		}
	}
	if conflict {
		return http.StatusPreconditionFailed, current
	}
	for _, set := range t.SetKeys {
		if strings.HasPrefix(set.Key, "op/") || strings.HasPrefix(set.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if set.Lease != 0 && s.leases[set.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, set := range t.SetKeys {
		s.set(set.Key, set.Value, set.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	return http.StatusOK, revisionAnswer{s.revision}
}

type leaseAnswer struct {
	Lease uint64 `json:"Lease,omitempty"`
	TtlMs int64  `json:"TtlMs"`
}

func (s *Store) grant(r *http.Request) (int, any) {
	var asked leaseAnswer
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil || asked.TtlMs <= 0 {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := uint64(len(s.leases) + 1000)
	l := &lease{ttl: time.Duration(asked.TtlMs) * time.Millisecond}
	s.start(id, l)
	return http.StatusOK, leaseAnswer{id, asked.TtlMs}
}

// start adds a lease with its whole time to live.
func (s *Store) start(id uint64, l *lease) {
	s.leases[id] = l
	l.timer = time.AfterFunc(l.ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		// After a restoration the id may belong to another lease.
		if s.leases[id] == l {
			s.expire(id)
		}
	})
}

// Expire ends a lease and removes its entries.
func (s *Store) Expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(id)
}

func (s *Store) expire(id uint64) {
	if l := s.leases[id]; l != nil {
		l.timer.Stop()
	}
	s.leases[id] = nil
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) keep(id string) (int, any) {
	n, _ := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[n]
	if l == nil {
		return http.StatusNotFound, nil
	}
	l.timer.Reset(l.ttl)
	return http.StatusOK, leaseAnswer{TtlMs: l.ttl.Milliseconds()}
}

func (s *Store) end(id string) (int, any) {
	n, _ := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	known := s.leases[n] != nil
	s.mu.Unlock()
	if !known {
		return http.StatusNotFound, nil
	}
	s.Expire(n)
	return http.StatusOK, nil
}
