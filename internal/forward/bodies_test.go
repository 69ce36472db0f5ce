package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/bodies"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// startEndlessServer starts a server whose responses have bodies without end, and returns its address.
func startEndlessServer(t *testing.T) netip.AddrPort {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(backend.HeaderRequestID, r.Header.Get(backend.HeaderRequestID))
		piece := make([]byte, 8<<10)
		for {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// Guards against servers whose bodies never end: each stayed below the limit of one response, and all together took the memory of the
// machine. Their requests must fail, and the budget must be whole again afterwards.
func TestEndlessBodiesShareOneBudget(t *testing.T) {
	const budget, requests = 1 << 20, 12
	snapshot := testSnapshot(t, 0, policy.BackendServer{ID: "b1", Service: "s", FailureDomain: "d", Address: startEndlessServer(t), Slots: requests})
	client := backend.NewClient()
	defer client.Close()
	total := bodies.NewBudget(budget)
	p := NewPipeline(Options{
		Host: "a", Region: func() string { return "north" }, Admitter: &countingAdmitter{slots: requests, ids: []string{"b1"}, inUse: map[string]int{}},
		Router: noPeerRouter{}, Forwarder: noPeerRouter{}, Attempter: client, Bodies: total,
		Policy: func() *policy.Snapshot { return snapshot }, Incarnation: func() membership.Incarnation { return 1 },
	})
	f := &fixture{T: t}
	var all sync.WaitGroup
	for range requests {
		request := f.request(false)
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			if r := p.Handle(ctx, request); r.Code != result.ResponseTooLarge {
				t.Errorf("an endless response gives code %v, want %v", r.Code, result.ResponseTooLarge)
			} else if f := r.Failure(); f == nil || !strings.Contains(f.Message, bodies.ErrBudgetExceeded.Error()) {
				t.Errorf("the failure is %v, want %v", f, bodies.ErrBudgetExceeded)
			}
		})
	}
	all.Wait()
	if free := total.Free(); free != budget {
		t.Errorf("%d bytes of the budget are free afterwards, want %d", free, budget)
	}
}
