package grants

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

var testKey = Key{Target: "h9", Service: "s"}

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a request that is spilled without a live grant or beyond the count of the grant, for any order of responses
// and pauses.
func TestHolderStaysWithinGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHolder()
		now, running := epoch, 0
		type sent struct {
			at    time.Time
			grant Grant
		}
		var pending, received []sent
		t.Repeat(map[string]func(*rapid.T){
			"sendRequest": func(t *rapid.T) {
				if !h.ShouldRequest(testKey, now) {
					t.Skip("no request is due")
				}
				h.RecordRequest(testKey, now)
				grant := Grant{Count: rapid.IntRange(0, 4).Draw(t, "count"), Life: MaxLife}
				pending = append(pending, sent{now, grant})
			},
			"answer": func(t *rapid.T) {
				if len(pending) == 0 {
					t.Skip("no request is pending")
				}
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "i")
				h.RecordResponse(testKey, pending[i].grant, pending[i].at)
				received = append(received, pending[i])
				pending = append(pending[:i], pending[i+1:]...)
			},
			"take": func(t *rapid.T) {
				if !h.Take(testKey, now) {
					t.Skip("not allowed")
				}
				running++
				for _, s := range received {
					if now.Sub(s.at) < s.grant.Life-expiryMargin && running <= s.grant.Count {
						return
					}
				}
				t.Fatalf("%d requests run, which no live grant allows", running)
			},
			"release": func(t *rapid.T) {
				if running == 0 {
					t.Skip("nothing runs")
				}
				running--
				h.Release(testKey)
			},
			"elapse": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
				h.Expire(now)
			},
			"drop": func(*rapid.T) {
				h.DropAll(now)
				received = nil
				if h.Take(testKey, now) {
					t.Fatal("a grant is left after a drop")
				}
			},
		})
	})
}

// Guards against a holder that uses a grant until it expires: the request would reach the target after the expiry there.
func TestHolderStopsBeforeGrantExpires(t *testing.T) {
	h := NewHolder()
	h.RecordResponse(testKey, Grant{Count: 1, Life: MaxLife}, epoch)
	if !h.Take(testKey, at(1799)) {
		t.Fatal("not allowed before the margin")
	}
	h.Release(testKey)
	if h.Take(testKey, at(1800)) {
		t.Fatal("allowed 200 ms before the grant expires")
	}
}

// Guards against using a response that was in flight during a pause: the target may have granted the capacity to other hosts
// since.
func TestHolderIgnoresResponsesToRequestsBeforeDrop(t *testing.T) {
	h := NewHolder()
	h.RecordRequest(testKey, epoch)
	h.DropAll(at(100))
	h.RecordResponse(testKey, Grant{Count: 1, Life: MaxLife}, epoch)
	if h.Take(testKey, at(101)) {
		t.Fatal("a response to a request from before the drop was used")
	}
}

// Guards against an earlier response that replaces a later one when responses arrive out of order.
func TestHolderKeepsNewerResponse(t *testing.T) {
	h := NewHolder()
	h.RecordRequest(testKey, at(0))
	h.RecordRequest(testKey, at(1500))
	h.RecordResponse(testKey, Grant{Count: 1, Life: MaxLife}, at(1500))
	h.RecordResponse(testKey, Grant{Count: 9, Life: MaxLife}, at(0))
	if !h.Take(testKey, at(1600)) || h.Take(testKey, at(1600)) {
		t.Fatal("the grant of 1 was replaced by the earlier one of 9")
	}
}

// Guards against grant requests that are sent too often, which load the target, or too late, which leaves a gap between two
// grants.
func TestHolderShouldRequest(t *testing.T) {
	h := NewHolder()
	check := func(ms int, want bool, reason string) {
		t.Helper()
		if got := h.ShouldRequest(testKey, at(ms)); got != want {
			t.Fatalf("at %d ms: ShouldRequest returned %v, want %v: %s", ms, got, want, reason)
		}
	}
	check(0, true, "no grant")
	h.RecordRequest(testKey, at(0))
	check(10, false, "a response is pending")
	h.RecordResponse(testKey, Grant{Count: 0, Life: 150 * time.Millisecond}, at(0))
	check(149, false, "rejected for 150 ms")
	check(150, true, "the rejection has expired")
	h.RecordRequest(testKey, at(200))
	h.RecordResponse(testKey, Grant{Count: 1, Life: MaxLife}, at(200))
	check(400, false, "the grant is live and large enough")
	h.Take(testKey, at(400))
	h.Take(testKey, at(400))
	check(401, true, "the grant was too small")
	check(1399, true, "the grant was too small")
	h.RecordRequest(testKey, at(500))
	h.RecordResponse(testKey, Grant{Count: 2, Life: MaxLife}, at(500))
	check(1699, false, "the grant is live and large enough")
	check(1700, true, "the holder stops using the grant in 600 ms")
	h.RecordRequest(testKey, at(1700))
	check(2699, false, "a response is pending")
	check(2700, true, "the response is lost")
	h.RecordFailure(testKey, at(2700))
	check(2999, false, "the target sent no response")
	h.Release(testKey)
	h.Expire(at(4000))
	if len(h.grants) != 0 {
		t.Fatalf("%d keys are kept", len(h.grants))
	}
}

// Guards against a holder that reserves all slots of a target for one request while other hosts and ranks get none.
func TestWantGrowsWithUse(t *testing.T) {
	h, issuer := NewHolder(), NewIssuer(rand.New(rand.NewPCG(1, 1)))
	first := Request{From: "h1", Service: "s", Want: h.Want(testKey)}
	if got := issuer.Issue(first, 6, 1, epoch); got.Count == 0 {
		t.Fatal("the request of the first host was rejected")
	}
	second := Request{From: "h2", Service: "s", Rank: rank.Interactive, Want: h.Want(testKey)}
	if got := issuer.Issue(second, 6, 1, epoch); got.Count == 0 {
		t.Error("the request of the second host was rejected although no request runs on 6 free slots")
	}
	h.RecordRequest(testKey, at(0))
	h.RecordResponse(testKey, Grant{Count: 2, Life: MaxLife}, at(0))
	before := h.Want(testKey)
	for h.Take(testKey, at(10)) {
	}
	if after := h.Want(testKey); after <= before {
		t.Errorf("wants %d after the whole grant was used, before %d", after, before)
	}
}
