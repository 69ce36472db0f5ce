package gateway

import (
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/placement"
)

// An unexpected error in a decision must leave the lock of the table free; every later request would else wait for ever.
func TestUnexpectedErrorFreesTheTable(t *testing.T) {
	g := &Gateway{}
	func() {
		defer func() { _ = recover() }()
		g.withTable(func(*placement.Table) { panic("unexpected") })
	}()
	if !g.mu.TryLock() {
		t.Error("the table is still locked")
	}
}
