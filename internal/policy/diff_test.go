package policy_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

func diffLines(a, b *policy.Document) []string {
	var lines []string
	for _, d := range policy.Diff(a, b) {
		lines = append(lines, d.String())
	}
	return lines
}

// Guards against a changed field that Diff does not report: the operator who reviews the change would not see it, and the
// check of team permissions, which is based on Diff, would miss it.
func TestDiffShowsEachChangedField(t *testing.T) {
	previous, next := decode(t, minimalPolicy), decode(t, minimalPolicy)
	policy.FillDefaults(previous)
	policy.FillDefaults(next)
	if lines := diffLines(previous, next); len(lines) != 0 {
		t.Fatalf("equal documents differ: %v", lines)
	}
	next.Services[0].Ranks.Deferrable.Limit = 0.5
	next.Services[0].Routes[0].Rank = 2
	next.DrainedBackendServers = []string{"b1"}
	next.Hosts[0].Retired = true
	next.Timing.PauseLimitMs = 500
	next.BackendServers[0].ID = "b2"
	want := []string{
		`timing.pause_limit_ms: 1000 → 500`,
		`hosts[h1].retired: false → true`,
		`services[catalogue].ranks.deferrable.limit: 0.6 → 0.5`,
		`services[catalogue].routes[0].rank: interactive → deferrable`,
		`backend_servers[b1]: {id="b1" service="catalogue" failure_domain="north-1" address=127.0.0.1:7101 slots=3 max_connections=330} → absent`,
		`backend_servers[b2]: absent → {id="b2" service="catalogue" failure_domain="north-1" address=127.0.0.1:7101 slots=3 max_connections=330}`,
		`drained_backend_servers: [] → ["b1"]`,
	}
	if got := diffLines(previous, next); !slices.Equal(got, want) {
		t.Fatalf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against a reordered list being reported as removed and added entries.
func TestDiffIgnoresOrderOfNamedEntries(t *testing.T) {
	text := minimalPolicy + "\n[[callers]]\nid=\"a\"\ntoken_sha256=\"1\"\nhighest_rank=\"urgent\"\n[[callers]]\nid=\"b\"\ntoken_sha256=\"2\"\nhighest_rank=\"urgent\"\n"
	previous, next := decode(t, text), decode(t, text)
	slices.Reverse(next.Callers)
	if lines := diffLines(previous, next); len(lines) != 0 {
		t.Fatalf("got %v, want no difference", lines)
	}
}

// Guards against matching routes by anything but their position: the first matching route applies, so inserting a route
// at the front changes the meaning of each route after it.
func TestDiffMatchesRoutesByPosition(t *testing.T) {
	previous, next := decode(t, minimalPolicy), decode(t, minimalPolicy)
	next.Services[0].Routes = append([]policy.Route{{PathPrefix: "/orders"}}, next.Services[0].Routes...)
	want := []string{
		`services[catalogue].routes[0].path_prefix: "/" → "/orders"`,
		`services[catalogue].routes[0].rank: interactive → urgent`,
		`services[catalogue].routes[0].repeatable: true → false`,
		`services[catalogue].routes[1]: absent → {path_prefix="/" rank=interactive repeatable=true}`,
	}
	if got := diffLines(previous, next); !slices.Equal(got, want) {
		t.Fatalf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against a panic on a nil document, which represents an empty store.
func TestDiffOfNilDocumentListsEveryEntry(t *testing.T) {
	if lines := diffLines(nil, decode(t, minimalPolicy)); len(lines) != 6 || !strings.HasPrefix(lines[0], `deployment: "" → "test"`) {
		t.Fatalf("got %v", lines)
	}
}

// Guards against equalBlocks hiding a changed or removed block: blocks determine the site that clients are steered to.
func TestDiffShowsChangedBlocks(t *testing.T) {
	text := minimalPolicy + "\n[[blocks]]\nprefix=\"192.0.2.0/24\"\nsites=[\"a\"]\n[[blocks]]\nprefix=\"198.51.100.0/24\"\nsites=[\"a\"]\n"
	previous, next := decode(t, text), decode(t, text)
	next.Blocks[1].Sites = []string{"b"}
	if got := diffLines(previous, next); !slices.Equal(got, []string{`blocks[198.51.100.0/24].sites: ["a"] → ["b"]`}) {
		t.Fatalf("got %v", got)
	}
	next.Blocks = next.Blocks[:1]
	if got := diffLines(previous, next); len(got) != 1 || !strings.HasSuffix(got[0], policy.Absent) {
		t.Fatalf("got %v, want the removed block", got)
	}
}
