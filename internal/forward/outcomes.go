package forward

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// OutcomeKey identifies a request that must not run twice.
type OutcomeKey struct {
	Caller  string
	Service string
	// Key is the caller's Idempotency-Key, or the request id if another entry host forwarded the request.
	Key string
}

// OutcomeOptions sets the limits of an outcome table.
type OutcomeOptions struct {
	// Retain is the time for which the outcome of a completed request is kept.
	Retain time.Duration
	// MaxEntries is the maximum number of requests in the table.
	MaxEntries int
	// MaxBodyBytes is the maximum size of a response body that is kept.
	MaxBodyBytes int
	// MaxBytes is the maximum total size of the response bodies that are kept.
	MaxBytes int
	// MaxWaiters is the maximum number of repeats that wait for one running request.
	MaxWaiters int
}

// IdempotencyKeyTableOptions returns the limits of the table that is keyed by Idempotency-Key. 50,000 entries are 83 new
// keys per second for 10 minutes, several times the number of payments that the backend slots of one entry host can run.
func IdempotencyKeyTableOptions() OutcomeOptions {
	return OutcomeOptions{Retain: 10 * time.Minute, MaxEntries: 50_000, MaxBodyBytes: 64 << 10, MaxBytes: 32 << 20, MaxWaiters: 16}
}

// ForwardedRequestTableOptions returns the limits of the table of requests that other entry hosts forwarded. Such a
// request is repeated only within its timeout, which is at most 60 s.
func ForwardedRequestTableOptions() OutcomeOptions {
	return OutcomeOptions{Retain: time.Minute, MaxEntries: 50_000, MaxBodyBytes: 64 << 10, MaxBytes: 32 << 20, MaxWaiters: 4}
}

// Shares of a table that requests of a rank and of one caller may fill. A flood of bookings with keys must not block
// payments.
const (
	deferrableTableShare  = 0.7
	interactiveTableShare = 0.85
	callerTableShare      = 0.5
)

// outcomeEntry is one request in the table. The entry of a running request is replaced by another one on completion.
type outcomeEntry struct {
	contentHash [sha256.Size]byte
	// done is closed when the running request completes.
	done      chan struct{}
	waiters   int
	completed bool
	// repeatResponse is the response to repeats after completion.
	repeatResponse *Response
	// keptBytes is the size of the response body that is kept.
	keptBytes int
	expiresAt time.Time
}

// OutcomeTable records the outcomes of requests that must not run twice. A key stays in the table while its request runs
// and for Retain after completion. A full table rejects new keys, since evicting a key could let its request run twice.
type OutcomeTable struct {
	options OutcomeOptions

	mu               sync.Mutex
	entries          map[OutcomeKey]*outcomeEntry
	entriesPerCaller map[string]int
	// completedKeys lists the keys of completed requests in the order of expiry.
	completedKeys []OutcomeKey
	keptBytes     int
}

// NewOutcomeTable returns an empty table.
func NewOutcomeTable(options OutcomeOptions) *OutcomeTable {
	return &OutcomeTable{options: options, entries: map[OutcomeKey]*outcomeEntry{}, entriesPerCaller: map[string]int{}}
}

// contentHash returns the hash of the method, path and body, which a repeat must have in common with the first request.
func contentHash(req *Request) [sha256.Size]byte {
	h := sha256.New()
	var size [8]byte
	for _, part := range [][]byte{[]byte(req.Method), []byte(req.Path), req.Body} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// Do runs the request if its key is new. A repeat gets the outcome of the first run; if that is still running, the repeat
// waits for it until ctx is done. If the first caller left before its request ran, one of the waiting repeats runs instead.
func (o *OutcomeTable) Do(ctx context.Context, key OutcomeKey, req *Request, now func() time.Time, run func() *Response) *Response {
	hash := contentHash(req)
	for {
		entry, response := o.begin(key, hash, req.Rank, now())
		switch {
		case response != nil:
			return response
		case entry == nil:
			return o.runFirst(key, now, run)
		}
		response = o.waitForOutcome(ctx, entry)
		if response.Code != result.CallerGone || ctx.Err() != nil {
			return response
		}
	}
}

// runFirst runs the request and records its outcome. If run panics, the outcome is recorded as unknown.
func (o *OutcomeTable) runFirst(key OutcomeKey, now func() time.Time, run func() *Response) *Response {
	response := FailureResponse(result.Fail(result.Internal, "the request stopped unexpectedly"))
	defer func() { o.complete(key, response, now()) }()
	response = run()
	return response
}

// begin looks up the key of a request. It returns a response if that is final, the entry to wait for, or neither if the
// caller of begin has to run the request and to call complete.
func (o *OutcomeTable) begin(key OutcomeKey, hash [sha256.Size]byte, r rank.Rank, now time.Time) (*outcomeEntry, *Response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	entry, ok := o.entries[key]
	if !ok {
		return nil, o.insert(key, hash, r)
	}
	switch {
	case entry.contentHash != hash:
		return nil, rejectionResponse(result.IdempotencyKeyReused, "key %q was used with another method, path or body", key.Key)
	case entry.completed:
		return nil, entry.repeatResponse
	case entry.waiters >= o.options.MaxWaiters:
		response := rejectionResponse(result.RepeatInProgress, "the request with key %q is running and %d repeats wait for it", key.Key, entry.waiters)
		response.RetryAfter = time.Second
		return nil, response
	}
	entry.waiters++
	return entry, nil
}

// insert adds a new key, or returns a rejection whose code means "not run".
func (o *OutcomeTable) insert(key OutcomeKey, hash [sha256.Size]byte, r rank.Rank) *Response {
	if o.entriesPerCaller[key.Caller] >= shareOf(o.options.MaxEntries, callerTableShare) {
		return rejectionResponse(result.CallerLimit, "the caller holds %d idempotency keys", o.entriesPerCaller[key.Caller])
	}
	if len(o.entries) >= shareOf(o.options.MaxEntries, rankTableShare(r)) {
		return rejectionResponse(result.NoCapacity, "the table of idempotency keys is full for rank %s", r)
	}
	o.entries[key] = &outcomeEntry{contentHash: hash, done: make(chan struct{})}
	o.entriesPerCaller[key.Caller]++
	return nil
}

func shareOf(n int, s float64) int { return max(1, int(float64(n)*s)) }

func rankTableShare(r rank.Rank) float64 {
	switch r {
	case rank.Urgent:
		return 1
	case rank.Interactive:
		return interactiveTableShare
	default:
		return deferrableTableShare
	}
}

// complete records the outcome of a request. If the code means "not run", it removes the key, so that a repeat may run.
// Waiting repeats get the complete response; later repeats may get a rejection if the body is too large to be kept.
func (o *OutcomeTable) complete(key OutcomeKey, response *Response, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	running := o.entries[key]
	running.repeatResponse = response
	running.completed = true
	close(running.done)
	if response.Code.NotRun() {
		o.remove(key)
		return
	}
	o.entries[key] = o.completedEntry(key, running.contentHash, response, now)
	o.completedKeys = append(o.completedKeys, key)
}

// completedEntry returns the entry that replaces the entry of a running request on completion.
func (o *OutcomeTable) completedEntry(key OutcomeKey, hash [sha256.Size]byte, response *Response, now time.Time) *outcomeEntry {
	entry := &outcomeEntry{contentHash: hash, completed: true, expiresAt: now.Add(o.options.Retain)}
	size := len(response.Body)
	switch {
	case response.Code != result.OK:
		entry.repeatResponse = rejectionResponse(result.RepeatInProgress, "the outcome of the request with key %q is unknown: %s %s", key.Key, response.Code, response.Message)
	case size > o.options.MaxBodyBytes || o.keptBytes+size > o.options.MaxBytes:
		entry.repeatResponse = rejectionResponse(result.RepeatInProgress, "the request with key %q ran; its answer of %d bytes was not kept", key.Key, size)
	default:
		entry.repeatResponse = response
		entry.keptBytes = size
		o.keptBytes += size
	}
	return entry
}

func (o *OutcomeTable) remove(key OutcomeKey) {
	o.keptBytes -= o.entries[key].keptBytes
	delete(o.entries, key)
	o.entriesPerCaller[key.Caller]--
	if o.entriesPerCaller[key.Caller] == 0 {
		delete(o.entriesPerCaller, key.Caller)
	}
}

// expire removes the completed keys whose retention time has passed.
func (o *OutcomeTable) expire(now time.Time) {
	for len(o.completedKeys) > 0 {
		key := o.completedKeys[0]
		if now.Before(o.entries[key].expiresAt) {
			return
		}
		o.remove(key)
		o.completedKeys = o.completedKeys[1:]
	}
}

// waitForOutcome waits for the outcome of a running request until ctx is done.
func (o *OutcomeTable) waitForOutcome(ctx context.Context, entry *outcomeEntry) *Response {
	select {
	case <-entry.done:
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	entry.waiters--
	if entry.completed {
		return entry.repeatResponse
	}
	response := rejectionResponse(result.RepeatInProgress, "the first request with this key is still running")
	response.RetryAfter = time.Second
	return response
}

func rejectionResponse(code result.Code, format string, args ...any) *Response {
	return FailureResponse(result.Fail(code, format, args...))
}
