package gateway

import (
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/placement"
)

// Guards against a panic in a decision that leaves the table locked, so that every later request waits indefinitely.
func TestWithTableUnlocksAfterPanic(t *testing.T) {
	g := &Gateway{}
	func() {
		defer func() { _ = recover() }()
		g.withTable(func(*placement.Table) { panic("unexpected") })
	}()
	if !g.mu.TryLock() {
		t.Error("the table is still locked")
	}
}
