package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/store"
)

// maxWatchWait bounds the time that a watch is held.
const maxWatchWait = time.Minute

// item is an entry as the store shows it.
type item struct {
	Key   string         `json:"Key"`
	Value []byte         `json:"Value"`
	Rev   store.Revision `json:"Rev"`
	// AsOf is the revision of the store. Here each key counts its own revisions.
	AsOf store.Revision `json:"AsOf"`
}

type writeAnswer struct {
	Rev store.Revision `json:"Rev"`
}

type watchAnswer struct {
	Events []item         `json:"events"`
	AsOf   store.Revision `json:"AsOf"`
}

// transaction is a write of one key under a condition.
type transaction struct {
	IfRev []struct {
		Key string         `json:"Key"`
		Rev store.Revision `json:"Rev"`
	} `json:"IfRev"`
	SetKeys []struct {
		Key   string `json:"Key"`
		Value []byte `json:"Value"`
	} `json:"SetKeys"`
}

// maxTransactionBytes holds the largest value in base64.
const maxTransactionBytes = 2 * store.MaxValueBytes

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("Key")
	p.mu.Lock()
	entry, ok := p.values[key]
	p.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, item{key, entry.Value, entry.Revision, entry.Revision})
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	var t transaction
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTransactionBytes)).Decode(&t)
	if err != nil || len(t.IfRev) != 1 || len(t.SetKeys) != 1 || t.IfRev[0].Key != t.SetKeys[0].Key {
		http.Error(w, "want one condition and one value for the same key", http.StatusBadRequest)
		return
	}
	if len(t.SetKeys[0].Value) > store.MaxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	revision, ok, lost := p.swap(t.SetKeys[0].Key, t.SetKeys[0].Value, t.IfRev[0].Rev)
	switch {
	case !ok:
		w.WriteHeader(http.StatusPreconditionFailed)
	case lost:
		dropConnection()
	default:
		answer(w, writeAnswer{Rev: revision})
	}
}

// swap writes a key if its revision is expected. The last result says that the answer is to be lost.
func (p *Platform) swap(key string, value []byte, expected store.Revision) (revision store.Revision, ok, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.values[key].Revision != expected {
		return 0, false, false
	}
	p.values[key] = store.Entry{Value: value, Revision: expected + 1}
	close(p.changed)
	p.changed = make(chan struct{})
	if p.faults.loseAnswers > 0 {
		p.faults.loseAnswers--
		lost = true
	}
	return expected + 1, true, lost
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: want a revision", http.StatusBadRequest)
		return
	}
	waitMs, err := strconv.ParseInt(query.Get("WaitMs"), 10, 64)
	if err != nil || waitMs < 0 {
		http.Error(w, "WaitMs: want a number of milliseconds", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWatchWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	key := query.Get("Prefix")
	entry, ok := p.waitForChange(ctx, key, store.Revision(after))
	if !ok {
		answer(w, watchAnswer{Events: []item{}, AsOf: store.Revision(after)})
		return
	}
	answer(w, watchAnswer{Events: []item{{key, entry.Value, entry.Revision, entry.Revision}}, AsOf: entry.Revision})
}

// waitForChange waits until the key's revision is above after, and then for the configured lag.
func (p *Platform) waitForChange(ctx context.Context, key string, after store.Revision) (store.Entry, bool) {
	for {
		p.mu.Lock()
		entry, changed, lag := p.values[key], p.changed, p.faults.watchLag
		p.mu.Unlock()
		if entry.Revision > after {
			return entry, waitLag(ctx, lag)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return store.Entry{}, false
		}
	}
}

// waitLag reports whether the lag passed before the watch ended.
func waitLag(ctx context.Context, lag time.Duration) bool {
	if lag <= 0 {
		return true
	}
	select {
	case <-time.After(lag):
		return true
	case <-ctx.Done():
		return false
	}
}
