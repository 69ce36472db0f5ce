package backend_test

import (
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/standin/backendserver"
)

// Guards against a status that shows operators 0 connections for every backend server.
func TestClientCountsOpenConnections(t *testing.T) {
	f := newFixture(t, backendserver.Options{Slots: 3})
	if got := f.client.Connections("b1"); got != 0 {
		t.Fatalf("%d connections before the first attempt", got)
	}
	f.do(testTimeout, f.request(true))
	if got := f.client.Connections("b1"); got != 1 {
		t.Fatalf("%d connections after a repeatable attempt, want the pooled one", got)
	}
}
