// Package bodies reads the bodies of requests and responses into memory, with a common memory budget for all of them.
package bodies

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// freeBytesPerRequest is the size of a request's bodies that does not count against the budget. Typical bodies are smaller,
	// so they can be read even after large bodies have used up the budget.
	freeBytesPerRequest = 16 << 10
	// initialCapacity is the initial size of the read buffer in bytes.
	initialCapacity = 512
)

// ErrTooLong means that a body is longer than its limit.
var ErrTooLong = errors.New("body exceeds its size limit")

// ErrBudgetExceeded means that the bodies of all requests together would need more memory than the budget.
var ErrBudgetExceeded = errors.New("memory budget for bodies is exhausted")

// Budget limits the memory that the bodies of all requests use. It is safe for concurrent use.
type Budget struct {
	total int64
	free  atomic.Int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{total: bytes}
	b.free.Store(bytes)
	return b
}

// Free returns the number of bytes that are not reserved.
func (b *Budget) Free() int64 { return b.free.Load() }

// IsScarce reports whether more than half of the budget is reserved. Work that can wait without a body in memory should wait then.
func (b *Budget) IsScarce() bool { return b.Free() < b.total/2 }

func (b *Budget) reserve(bytes int64) bool {
	if b.free.Add(-bytes) >= 0 {
		return true
	}
	b.free.Add(bytes)
	return false
}

// Reservation is the part of a budget that the bodies of one request use. A nil Reservation has no limit.
type Reservation struct {
	budget *Budget
	// capacity is the capacity of the buffers of all bodies, reserved the part of it that was taken from the budget.
	capacity, reserved int64
}

// NewReservation returns a reservation for the bodies of one request. It has to be released when the request is complete. Without a budget
// it returns nil.
func (b *Budget) NewReservation() *Reservation {
	if b == nil {
		return nil
	}
	return &Reservation{budget: b}
}

// Release returns the reserved bytes to the budget.
func (h *Reservation) Release() {
	if h == nil {
		return
	}
	h.budget.free.Add(h.reserved)
	h.reserved = 0
}

// grow reserves further bytes and reports whether the budget has enough.
func (h *Reservation) grow(bytes int64) bool {
	if h == nil {
		return true
	}
	h.capacity += bytes
	need := max(0, h.capacity-freeBytesPerRequest) - h.reserved
	if need <= 0 {
		return true
	}
	if !h.budget.reserve(need) {
		return false
	}
	h.reserved += need
	return true
}

// ReadAll reads up to the end of the reader, at most limit bytes. On an error it also returns the bytes read so far. Errors:
// ErrTooLong, ErrBudgetExceeded and those of the reader.
func (h *Reservation) ReadAll(r io.Reader, limit int64) ([]byte, error) {
	if !h.grow(initialCapacity) {
		return nil, ErrBudgetExceeded
	}
	body := make([]byte, 0, initialCapacity)
	for {
		if len(body) == cap(body) {
			if !h.grow(int64(cap(body))) {
				return body, ErrBudgetExceeded
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
