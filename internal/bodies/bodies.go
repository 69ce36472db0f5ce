// Package bodies reads the bodies of requests and answers into memory, within one budget of bytes for all of them together.
package bodies

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// allowance is the part of each request's bodies that does not count against the budget, in bytes. Usual bodies are smaller, so
	// they pass while long ones have used the budget up.
	allowance = 16 << 10
	// firstRead is the capacity with which reading begins, in bytes.
	firstRead = 512
)

// ErrTooLong says that a body is longer than its limit.
var ErrTooLong = errors.New("the body is too long")

// ErrBudget says that the bodies of all requests together would take more memory than the budget.
var ErrBudget = errors.New("bodies of other requests take the memory")

// Budget bounds the bytes that the bodies of all requests hold. It is safe for concurrent use.
type Budget struct{ free atomic.Int64 }

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.free.Store(bytes)
	return b
}

// Free returns the bytes that are not held.
func (b *Budget) Free() int64 { return b.free.Load() }

func (b *Budget) take(bytes int64) bool {
	if b.free.Add(-bytes) >= 0 {
		return true
	}
	b.free.Add(bytes)
	return false
}

// Holder holds the bodies of one request. A nil Holder has no budget.
type Holder struct {
	budget *Budget
	// read is the capacity of all bodies, held the part that was taken from the budget.
	read, held int64
}

// NewHolder returns a holder for the bodies of one request, which has to be released at its end.
func (b *Budget) NewHolder() *Holder { return &Holder{budget: b} }

// Release gives back what the request held.
func (h *Holder) Release() {
	h.budget.free.Add(h.held)
	h.held = 0
}

// grow counts further bytes and reports whether the budget has them.
func (h *Holder) grow(bytes int64) bool {
	if h == nil {
		return true
	}
	h.read += bytes
	need := max(0, h.read-allowance) - h.held
	if need <= 0 {
		return true
	}
	if !h.budget.take(need) {
		return false
	}
	h.held += need
	return true
}

// ReadAll reads up to the end, at most a number of bytes. Errors: ErrTooLong, ErrBudget and those of the reader, with what was read.
func (h *Holder) ReadAll(r io.Reader, limit int64) ([]byte, error) {
	if !h.grow(firstRead) {
		return nil, ErrBudget
	}
	body := make([]byte, 0, firstRead)
	for {
		if len(body) == cap(body) {
			if !h.grow(int64(cap(body))) {
				return body, ErrBudget
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
