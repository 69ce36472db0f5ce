// Package bodies reads the bodies of requests and responses into memory, with a common memory budget for all of them.
package bodies

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// freeBytesPerRequest is the size of a request's bodies that does not count against the budget. Typical bodies are smaller,
	// so they can be read even after large bodies have used up the budget.
	freeBytesPerRequest = 16 << 10
	// initialCapacity is the initial size of the read buffer in bytes.
	initialCapacity = 512
	// maxLargeShare is the share of the budget that large bodies may take. The rest is kept for small bodies and for responses.
	maxLargeShare = 0.75
	// maxClientShare is the share of the budget that the large bodies of one client may take. On a host with 136 MB of memory it is 9 MB,
	// which is 150 uploads of the mean size of 60 KB or 25 of the maximum of 360 KB.
	maxClientShare = 1.0 / 3
)

// ErrTooLong means that a body is longer than its limit.
var ErrTooLong = errors.New("body exceeds its size limit")

// ErrBudgetExceeded means that the bodies of all requests together would need more memory than the budget.
var ErrBudgetExceeded = errors.New("memory budget for bodies is exhausted")

// ErrClientBoundExceeded means that the large bodies of one client would need more memory than its share of the budget.
var ErrClientBoundExceeded = errors.New("share of the client in the memory budget for bodies is exhausted")

// Budget limits the memory that the bodies of all requests use. It is safe for concurrent use.
type Budget struct {
	total int64
	free  atomic.Int64
	// uncounted is the memory of bodies that does not count against the budget, see freeBytesPerRequest.
	uncounted atomic.Int64

	mu sync.Mutex
	// large is the number of bytes that are reserved for large bodies, clients that of each client that has any.
	large   int64
	clients map[string]int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{total: bytes, clients: map[string]int64{}}
	b.free.Store(bytes)
	return b
}

// Free returns the number of bytes that are not reserved.
func (b *Budget) Free() int64 { return b.free.Load() }

// Held returns the number of bytes that bodies hold, including those that do not count against the budget.
func (b *Budget) Held() int64 { return b.total - b.Free() + b.uncounted.Load() }

// IsScarce reports whether bodies hold more than half of the budget. Work that can wait without a body in memory should wait then.
func (b *Budget) IsScarce() bool { return b.Held() > b.total/2 }

func (b *Budget) reserve(bytes int64) bool {
	if b.free.Add(-bytes) >= 0 {
		return true
	}
	b.free.Add(bytes)
	return false
}

// reserveLarge reserves bytes for a large body of a client. Errors: ErrClientBoundExceeded and ErrBudgetExceeded.
func (b *Budget) reserveLarge(client string, bytes int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.clients[client]+bytes > int64(maxClientShare*float64(b.total)):
		return ErrClientBoundExceeded
	case b.large+bytes > int64(maxLargeShare*float64(b.total)), !b.reserve(bytes):
		return ErrBudgetExceeded
	}
	if bytes > 0 {
		b.large += bytes
		b.clients[client] += bytes
	}
	return nil
}

// releaseLarge returns the bytes of reserveLarge.
func (b *Budget) releaseLarge(client string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free.Add(bytes)
	b.large -= bytes
	if b.clients[client] -= bytes; b.clients[client] == 0 {
		delete(b.clients, client)
	}
}

// Reservation is the part of a budget that the bodies of one request use. A nil Reservation has no limit.
type Reservation struct {
	budget *Budget
	// holders is the number of users of the bodies. The bytes are returned to the budget when it falls to zero.
	holders atomic.Int64
	// capacity is the capacity of the buffers of all bodies that are not large, reserved the part of it that was taken from the budget.
	capacity, reserved int64
	// large is the number of bytes that were reserved for a large body of a client.
	large  int64
	client string
}

// NewReservation returns a reservation for the bodies of one request. It has to be released when the request is complete. Without a budget
// it returns nil.
func (b *Budget) NewReservation() *Reservation {
	if b == nil {
		return nil
	}
	h := &Reservation{budget: b}
	h.holders.Store(1)
	return h
}

// Retain keeps the bytes reserved until the returned function is called, also after Release. Only one call of the function is allowed.
func (h *Reservation) Retain() func() {
	if h == nil {
		return func() {}
	}
	h.holders.Add(1)
	return h.Release
}

// Release returns the reserved bytes to the budget when it was called by all holders.
func (h *Reservation) Release() {
	if h == nil || h.holders.Add(-1) != 0 {
		return
	}
	h.budget.free.Add(h.reserved)
	h.budget.uncounted.Add(-min(h.capacity, freeBytesPerRequest))
	if h.large > 0 {
		h.budget.releaseLarge(h.client, h.large)
	}
}

// grow reserves further bytes and reports whether the budget has enough.
func (h *Reservation) grow(bytes int64) bool {
	if h == nil {
		return true
	}
	if need := max(0, h.capacity+bytes-freeBytesPerRequest) - h.reserved; need > 0 {
		if !h.budget.reserve(need) {
			return false
		}
		h.reserved += need
	}
	h.budget.uncounted.Add(min(h.capacity+bytes, freeBytesPerRequest) - min(h.capacity, freeBytesPerRequest))
	h.capacity += bytes
	return true
}

// growLarge reserves further bytes for a large body of a client.
func (h *Reservation) growLarge(client string, bytes int64) error {
	if h == nil {
		return nil
	}
	if err := h.budget.reserveLarge(client, bytes); err != nil {
		return err
	}
	h.client = client
	h.large += bytes
	return nil
}

// ReadAll reads up to the end of the reader, at most limit bytes. On an error it also returns the bytes read so far. Errors:
// ErrTooLong, ErrBudgetExceeded and those of the reader.
func (h *Reservation) ReadAll(r io.Reader, limit int64) ([]byte, error) {
	return readGrowing(r, limit, func(bytes int64) error {
		if !h.grow(bytes) {
			return ErrBudgetExceeded
		}
		return nil
	})
}

// ReadLarge reads a large body of a client up to the end of the reader, at most limit bytes. If length is not negative, it is the length
// that the client declares: its memory is reserved before the first read, and nothing is read if it exceeds a bound. On an error it also
// returns the bytes read so far. It is called at most once for each reservation. Errors: ErrTooLong, ErrBudgetExceeded,
// ErrClientBoundExceeded and those of the reader.
func (h *Reservation) ReadLarge(r io.Reader, client string, length, limit int64) ([]byte, error) {
	if length < 0 {
		return readGrowing(r, limit, func(bytes int64) error { return h.growLarge(client, bytes) })
	}
	if length > limit {
		return nil, ErrTooLong
	}
	if err := h.growLarge(client, length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	n, err := io.ReadFull(r, body)
	if err == nil {
		// The server knows the end of the body only after a read that returns it.
		_, err = r.Read(make([]byte, 1))
	}
	if err == io.EOF && int64(n) == length {
		err = nil
	}
	return body[:n], err
}

// readGrowing reads up to the end of the reader into a buffer that doubles its capacity. It calls grow before each allocation.
func readGrowing(r io.Reader, limit int64, grow func(bytes int64) error) ([]byte, error) {
	if err := grow(initialCapacity); err != nil {
		return nil, err
	}
	body := make([]byte, 0, initialCapacity)
	for {
		if len(body) == cap(body) {
			if err := grow(int64(cap(body))); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return body, ErrTooLong
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
}
