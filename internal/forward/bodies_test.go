package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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
	t.Helper()
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listen.Close() })
	go func() {
		for {
			conn, err := listen.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+backend.HeaderRequestID+": "+r.Header.Get(backend.HeaderRequestID)+"\r\nTransfer-Encoding: chunked\r\n\r\n")
				for chunk := "2000\r\n" + string(make([]byte, 8<<10)) + "\r\n"; err == nil; {
					_, err = io.WriteString(conn, chunk)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(listen.Addr().String())
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
