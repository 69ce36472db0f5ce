package bodies

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// Bodies must be complete or fail with the right error, the reserved bytes must never exceed the budget, and all of them must be
// returned to it.
func TestBodiesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget = 200 << 10
		b := NewBudget(budget)
		var reservations []*Reservation
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			h := b.NewReservation()
			reservations = append(reservations, h)
			size := rapid.IntRange(0, 100<<10).Draw(t, "size")
			limit := rapid.IntRange(0, 120<<10).Draw(t, "limit")
			text := bytes.Repeat([]byte{'x'}, size)
			body, err := h.ReadAll(bytes.NewReader(text), int64(limit))
			switch {
			case err == nil && (len(body) != size || size > limit):
				t.Fatalf("%d of %d bytes with limit %d", len(body), size, limit)
			case errors.Is(err, ErrTooLong) && size <= limit, errors.Is(err, ErrBudgetExceeded) && size <= freeBytesPerRequest/2:
				t.Fatalf("%v for %d bytes with limit %d", err, size, limit)
			}
			if free := b.Free(); free < 0 || free > budget {
				t.Fatalf("%d bytes free", free)
			}
			if rapid.Bool().Draw(t, "ends") {
				h.Release()
			}
		}
		for _, h := range reservations {
			h.Release()
		}
		if b.Free() != budget {
			t.Fatalf("%d bytes free at the end, want %d", b.Free(), budget)
		}
	})
}

// A failed read must not be mistaken for the end of a body.
func TestReadAllReturnsReaderError(t *testing.T) {
	var h *Reservation
	if _, err := h.ReadAll(iotest.TimeoutReader(iotest.OneByteReader(bytes.NewReader([]byte("ab")))), 10); !errors.Is(err, iotest.ErrTimeout) {
		t.Errorf("error %v", err)
	}
	if body, err := h.ReadAll(io.LimitReader(bytes.NewReader([]byte("abc")), 3), 3); err != nil || string(body) != "abc" {
		t.Errorf("%q, %v", body, err)
	}
}

// Guards against work that goes on filling the memory for bodies while it is nearly used up.
func TestBudgetIsScarceFromHalfOn(t *testing.T) {
	b := NewBudget(100 << 10)
	r := b.NewReservation()
	if b.IsScarce() {
		t.Error("an unused budget is scarce")
	}
	if !r.grow(freeBytesPerRequest+60<<10) || !b.IsScarce() {
		t.Errorf("a budget with %d bytes left of %d is not scarce", b.Free(), 100<<10)
	}
	if r.Release(); b.IsScarce() {
		t.Error("a budget is scarce after all was released")
	}
}
