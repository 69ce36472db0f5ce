package gateway

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

// fakeRegistrar records its calls and grants leases without an era.
type fakeRegistrar struct{ calls []string }

func (r *fakeRegistrar) Grant(context.Context, time.Duration) (Lease, error) {
	r.calls = append(r.calls, "grant")
	return Lease{ID: 1}, nil
}

func (r *fakeRegistrar) Renew(context.Context, Lease) error {
	r.calls = append(r.calls, "renew")
	return nil
}

func (r *fakeRegistrar) End(context.Context, Lease) error {
	r.calls = append(r.calls, "end")
	return nil
}

func (r *fakeRegistrar) PutHost(context.Context, *catalog.Host, Lease) error {
	r.calls = append(r.calls, "put")
	return nil
}

// Guards against a host that learns from another host that the store was restored, and then renews or ends a lease whose id may belong to a
// third one. A lease that is granted afterwards must count as valid, or the host would register again at each renewal.
func TestLeaseOfEarlierEraIsNotUsed(t *testing.T) {
	era, calls := catalog.Era(0), &fakeRegistrar{}
	r := &registration{registrar: calls, host: &catalog.Host{}, isListed: func() bool { return true }, isNeededInRegion: func() bool { return true }, knownEra: func() catalog.Era { return era }, log: zerolog.Nop()}
	step := func(want ...string) {
		t.Helper()
		calls.calls = nil
		if err := r.renewOrRegister(t.Context(), time.Second); err != nil || !slices.Equal(calls.calls, want) {
			t.Errorf("era %d: %v, %v, want %v", era, calls.calls, err, want)
		}
	}
	step("grant", "put")
	step("renew")
	era = 1
	step("grant", "put")
	step("renew")
	era, calls.calls = 2, nil
	r.unregister()
	if len(calls.calls) > 0 {
		t.Errorf("the lease of an earlier era was ended")
	}
}
