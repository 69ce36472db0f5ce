package policy_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

const minimalPolicy = `
deployment = "test"
[[regions]]
name = "north"
[[failure_domains]]
name = "north-1"
region = "north"
[[hosts]]
id = "h1"
failure_domain = "north-1"
caller_address = "127.0.0.1:7001"
peer_address = "127.0.0.1:7002"
admin_address = "127.0.0.1:7003"
[[services]]
name = "catalogue"
team = "spares"
[[services.routes]]
path_prefix = "/"
rank = "interactive"
repeatable = true
[[backend_servers]]
id = "b1"
service = "catalogue"
failure_domain = "north-1"
address = "127.0.0.1:7101"
slots = 3
`

func decode(t *testing.T, text string) *policy.Document {
	t.Helper()
	doc, err := policy.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

func TestCompileAcceptsMinimalPolicy(t *testing.T) {
	s, err := policy.Compile(decode(t, minimalPolicy), 1, "c1")
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Service("catalogue").MaxRequestMs; got != 5000 {
		t.Fatalf("max_request_ms default is %d, want 5000", got)
	}
}

// Guards against validation that stops at the first problem, so that operators need one run for each problem.
func TestValidateReportsEveryProblem(t *testing.T) {
	text := strings.NewReplacer(
		`region = "north"`, `region = "south"`,
		`127.0.0.1:7101`, `127.0.0.1:7001`,
		`slots = 3`, `slots = 0`,
	).Replace(minimalPolicy)
	_, err := policy.Compile(decode(t, text), 1, "c1")
	var invalid *policy.InvalidError
	if !errors.As(err, &invalid) || len(invalid.Problems) != 3 {
		t.Fatalf("got %v, want 3 problems", err)
	}
}

func TestDecodeRejectsUnknownKey(t *testing.T) {
	_, err := policy.Decode([]byte(minimalPolicy + "\nslotz = 4\n"))
	if err == nil || !strings.Contains(err.Error(), "slotz") {
		t.Fatalf("got %v, want an error that names the key", err)
	}
}

// Guards against a host or backend server that changes its identity under the same id. Two entry hosts may hold different
// versions for a short time, and a backend server that moved to another failure domain under its old id would be used from
// both failure domains.
func TestValidateChangeRejectsChangedIdentities(t *testing.T) {
	previous := decode(t, minimalPolicy)
	next := decode(t, strings.Replace(minimalPolicy, "127.0.0.1:7101", "127.0.0.1:7102", 1))
	if err := policy.ValidateChange(previous, next); err == nil {
		t.Fatal("a backend server changed its address under the same id, want an error")
	}
	next = decode(t, strings.Replace(minimalPolicy, `id = "h1"`, `id = "h2"`, 1))
	if err := policy.ValidateChange(previous, next); err == nil {
		t.Fatal("a host that is not retired was removed, want an error")
	}
}

// Guards against an error message that names the Go field instead of the key in the TOML file.
func TestValidateChangeNamesTheTimingKey(t *testing.T) {
	previous, next := decode(t, minimalPolicy), decode(t, minimalPolicy)
	next.Timing.PauseLimitMs = 500
	err := policy.ValidateChange(previous, next)
	var invalid *policy.InvalidError
	if !errors.As(err, &invalid) || len(invalid.Problems) != 1 || invalid.Problems[0].Field != "timing.pause_limit_ms" {
		t.Fatalf("got %v, want one problem of timing.pause_limit_ms", err)
	}
}

// Guards against a valid policy being rejected: a host without a site was assigned to a site with the name of its failure
// domain, which does not exist if the only site of that failure domain has another name.
func TestHostWithoutSiteJoinsTheSiteOfItsFailureDomain(t *testing.T) {
	doc := decode(t, minimalPolicy+"\n[[sites]]\nname = \"harbour\"\nfailure_domain = \"north-1\"\n")
	s, err := policy.Compile(doc, 1, "c1")
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Host("h1").Site; got != "harbour" {
		t.Fatalf("host h1 is in site %q, want harbour", got)
	}
}

// Guards against two hosts using the same slots: a new host that is not retired could start to use slots while a peer still
// holds the version without that host.
func TestValidateChangeRejectsNewHostThatIsNotRetired(t *testing.T) {
	previous := decode(t, minimalPolicy)
	second := strings.NewReplacer(`id = "h1"`, `id = "h2"`, "7001", "7011", "7002", "7012", "7003", "7013")
	added := second.Replace(minimalPolicy[strings.Index(minimalPolicy, "[[hosts]]"):strings.Index(minimalPolicy, "[[services]]")])
	if err := policy.ValidateChange(previous, decode(t, minimalPolicy+added)); err == nil {
		t.Fatal("a host that is not retired was added, want an error")
	}
	if err := policy.ValidateChange(previous, decode(t, minimalPolicy+added+"\nretired = true\n")); err != nil {
		t.Fatal(err)
	}
}

// Guards against a route or caller without a rank being treated as urgent, which is the zero value.
func TestDecodeRejectsMissingRanks(t *testing.T) {
	text := strings.Replace(minimalPolicy, `rank = "interactive"`, "", 1) + "\n[[callers]]\nid = \"mill\"\ntoken_sha256 = \"" + policy.HashToken("t") + "\"\n"
	_, err := policy.Decode([]byte(text))
	var invalid *policy.InvalidError
	if !errors.As(err, &invalid) || len(invalid.Problems) != 2 {
		t.Fatalf("got %v, want a problem for the route and one for the caller", err)
	}
}
