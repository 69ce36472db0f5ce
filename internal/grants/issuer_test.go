package grants

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

var epoch = time.Unix(1_700_000_000, 0)

func newIssuer() *Issuer { return NewIssuer(rand.New(rand.NewPCG(1, 2))) }

// modelGrant is a grant in the reference model.
type modelGrant struct {
	from    string
	rank    rank.Rank
	count   int
	expires time.Time
}

// issuerModel is the reference model of an issuer: the number of free slots, every grant that was issued and the running
// requests.
type issuerModel struct {
	issuer  *Issuer
	now     time.Time
	free    float64
	grants  []modelGrant
	running map[holderKey]int
}

// outstanding returns how many requests the hosts other than except may run: for each host and rank the larger of the largest
// live grant and the number of running requests.
func (m *issuerModel) outstanding(except holderKey) int {
	largest := map[holderKey]int{}
	for _, p := range m.grants {
		if key := (holderKey{p.from, p.rank}); key != except && p.expires.After(m.now) {
			largest[key] = max(largest[key], p.count)
		}
	}
	for key, n := range m.running {
		if key != except {
			largest[key] = max(largest[key], n)
		}
	}
	sum := 0
	for _, n := range largest {
		sum += n
	}
	return sum
}

func (m *issuerModel) totalRunning() int {
	sum := 0
	for _, n := range m.running {
		sum += n
	}
	return sum
}

func (m *issuerModel) requestGrant(t *rapid.T) {
	reserve := rapid.Float64Range(0, 4).Draw(t, "reserve")
	req := Request{
		From:    rapid.SampledFrom([]string{"h1", "h2", "h3", "h4"}).Draw(t, "from"),
		Service: "s",
		Rank:    rank.Rank(rapid.IntRange(0, rank.Count-1).Draw(t, "rank")),
		Want:    rapid.IntRange(0, 30).Draw(t, "want"),
	}
	grant := m.issuer.Issue(req, m.free, reserve, m.now)
	if grant.Life <= 0 || grant.Life > MaxLife {
		t.Fatalf("Life %v is out of range", grant.Life)
	}
	if grant.Count == 0 {
		return
	}
	others := m.outstanding(holderKey{req.From, req.Rank})
	bound := max(0, m.free-reserve) + float64(m.totalRunning())
	if grant.Count > req.Want || float64(grant.Count+others) > bound {
		t.Fatalf("granted %d (wanted %d) in addition to %d to others, headroom %v", grant.Count, req.Want, others, bound)
	}
	m.grants = append(m.grants, modelGrant{req.From, req.Rank, grant.Count, m.now.Add(grant.Life)})
}

// admit starts a request under a live grant, which takes a slot.
func (m *issuerModel) admit(t *rapid.T) {
	for _, p := range m.grants {
		key := holderKey{p.from, p.rank}
		if p.expires.After(m.now) && m.running[key] < p.count && m.free >= 1 {
			m.running[key]++
			m.free--
			m.issuer.RecordAdmitted(p.from, "s", p.rank)
			return
		}
	}
	t.Skip("no grant to use")
}

func (m *issuerModel) complete(t *rapid.T) {
	for _, host := range []string{"h1", "h2", "h3", "h4"} {
		for _, r := range rank.All() {
			if key := (holderKey{host, r}); m.running[key] > 0 {
				m.running[key]--
				m.free++
				m.issuer.RecordCompleted(host, "s", r)
				return
			}
		}
	}
	t.Skip("nothing runs")
}

func (m *issuerModel) elapse(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
}

func (m *issuerModel) changeFreeSlots(t *rapid.T) {
	m.free = rapid.Float64Range(0, 40).Draw(t, "free")
}

// Guards against granting the same slots to several hosts, which would then spill more requests to this host than it can
// admit.
func TestGrantsStayWithinHeadroom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &issuerModel{issuer: newIssuer(), now: epoch, free: 20, running: map[holderKey]int{}}
		t.Repeat(map[string]func(*rapid.T){
			"requestGrant":    m.requestGrant,
			"requestMore":     m.requestGrant,
			"admit":           m.admit,
			"complete":        m.complete,
			"elapse":          m.elapse,
			"changeFreeSlots": m.changeFreeSlots,
			"": func(t *rapid.T) {
				if got, want := m.issuer.Outstanding("s", m.now), m.outstanding(holderKey{}); got != want {
					t.Fatalf("%d requests outstanding, model has %d", got, want)
				}
			},
		})
	})
}

// Guards against a host that keeps the others without grants for longer than two lifetimes of a grant because it sends the
// first request and further ones often.
func TestGrantsBecomeFairWithinTwoLifetimes(t *testing.T) {
	issuer := newIssuer()
	hosts := []string{"h1", "h2", "h3"}
	counts := map[string]int{}
	for elapsed := time.Duration(0); elapsed <= 2*MaxLife; elapsed += 100 * time.Millisecond {
		for _, host := range hosts {
			grant := issuer.Issue(Request{From: host, Service: "s", Want: 100}, 30, 0, epoch.Add(elapsed))
			if grant.Count > 0 {
				counts[host] = grant.Count
			}
		}
	}
	for _, host := range hosts {
		if counts[host] != 10 {
			t.Fatalf("grants %v, want 10 each of 30", counts)
		}
	}
}

// Guards against an only requester that cannot use the whole headroom, or loses its grant at renewal because its own requests
// use the slots.
func TestOnlyRequesterRenewsSlotsItUses(t *testing.T) {
	issuer := newIssuer()
	req := Request{From: "h1", Service: "s", Want: 100}
	if got := issuer.Issue(req, 10, 2, epoch).Count; got != 8 {
		t.Fatalf("granted %d, want the headroom of 10 beyond the reserve of 2", got)
	}
	for range 8 {
		issuer.RecordAdmitted("h1", "s", rank.Urgent)
	}
	if got := issuer.Issue(req, 2, 2, epoch.Add(time.Second)).Count; got != 8 {
		t.Fatalf("renewed %d, want 8: the slots in use are used under the grant itself", got)
	}
}

// Guards against a smaller grant for urgent requests because hosts with a less urgent rank request much.
func TestLessUrgentWantsDoNotReduceUrgentGrants(t *testing.T) {
	issuer := newIssuer()
	issuer.Issue(Request{From: "h1", Service: "s", Rank: rank.Deferrable, Want: 1000}, 0, 0, epoch)
	if got := issuer.Issue(Request{From: "h2", Service: "s", Want: 10}, 10, 0, epoch).Count; got != 10 {
		t.Fatalf("granted %d, want 10", got)
	}
}

// Guards against an issuer whose memory grows with every host that ever sent a grant request.
func TestIssuerDeletesIdleHosts(t *testing.T) {
	issuer := newIssuer()
	issuer.Issue(Request{From: "h1", Service: "s", Want: 1}, 10, 0, epoch)
	issuer.Outstanding("s", epoch.Add(MaxLife))
	if n := len(issuer.services["s"]); n != 0 {
		t.Fatalf("%d hosts are kept", n)
	}
}
