package operator

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/admin"
	"github.com/foxtailtack/foxtailtack/internal/admin/admintest"
	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/lookup"
	"github.com/foxtailtack/foxtailtack/internal/policy"
)

var sessionStart = time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)

// session runs command lines against administration APIs of this process.
type session struct {
	configuration *admintest.Configuration
	// names maps $A, $B and so on to addresses, and back in outputs.
	names map[string]string
	ids   int
}

// Each session shows what operators type and see. The sessions guard against wrong exit statuses, failures without code,
// meaning or next step, changes that are sent without their id being printed, and changes that take effect twice.
func TestSessions(t *testing.T) {
	// The sessions run in directories of their own.
	sessions, err := filepath.Abs(filepath.Join("testdata", "sessions"))
	if err != nil {
		t.Fatal(err)
	}
	datadriven.Walk(t, sessions, func(t *testing.T, path string) {
		s := newSession(t)
		datadriven.RunTest(t, path, s.step)
	})
}

func newSession(t *testing.T) *session {
	s := &session{configuration: admintest.NewConfiguration(sessionStart), names: map[string]string{}}
	a := httptest.NewServer(s.api("north-1-entry-1", "north-1"))
	b := httptest.NewServer(s.api("south-1-entry-1", "south-1"))
	lost := httptest.NewServer(loseAnswers(s.api("north-1-entry-2", "north-1")))
	other := httptest.NewServer(http.NotFoundHandler())
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	for name, server := range map[string]*httptest.Server{"$A": a, "$B": b, "$LOST": lost, "$OTHER": other, "$SILENT": silent} {
		t.Cleanup(server.Close)
		s.names[name] = server.Listener.Addr().String()
	}
	s.names["$DOWN"] = closedAddress(t)
	t.Chdir(t.TempDir())
	for _, name := range []string{"platform", "spares", "orders", "stranger"} {
		writeFile(t, name+".token", "token-of-operator-"+name+"\n")
	}
	return s
}

func (s *session) api(host, domain string) http.Handler {
	status := admintest.Status{Configuration: s.configuration, FailureDomain: domain}
	api := &lazyLookup{answerer: lookup.NewResolver(host), session: s, domain: domain}
	router := mux.NewRouter()
	admin.New(admin.Options{
		HostID: host, FailureDomain: domain, Configuration: s.configuration, Status: status,
		Lookup: api.answerer, View: status, Now: func() time.Time { return sessionStart }, Log: zerolog.Nop(),
	}).Register(router)
	return api.wrap(router)
}

// lazyLookup keeps the look-up table at the accepted policy, as the entry host does.
type lazyLookup struct {
	answerer *lookup.Resolver
	session  *session
	domain   string
}

func (l *lazyLookup) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if snapshot := l.session.configuration.Snapshot(); snapshot != nil {
			if table, err := lookup.Compile(snapshot, l.domain); err == nil {
				l.answerer.SetTable(table)
			}
		}
		next.ServeHTTP(w, r)
	})
}

// loseAnswers carries requests out and closes the connection without an answer.
func loseAnswers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

// closedAddress is an address that refuses connections.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func writeFile(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (s *session) step(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "file":
		writeFile(t, d.CmdArgs[0].Key, s.expand(d.Input)+"\n")
		return ""
	case "replace":
		return s.replace(t, d)
	case "store":
		s.configuration.SetFault(map[string]admintest.Fault{
			"works": admintest.None, "unavailable": admintest.Unavailable, "answer-lost": admintest.ResponseLost, "write-lost": admintest.WriteLost,
		}[d.CmdArgs[0].Key])
		return ""
	case "meanwhile":
		what, server := d.CmdArgs[0].Key, d.CmdArgs[1].Key
		s.configuration.BeforeNextApply(func() { s.otherChange(t, what, server) })
		return ""
	case "run":
		return s.run(t, d)
	default:
		t.Fatalf("%s: unknown directive %s", d.Pos, d.Cmd)
		return ""
	}
}

// replace writes a file with parts of another one replaced.
func (s *session) replace(t *testing.T, d *datadriven.TestData) string {
	text, err := os.ReadFile(d.CmdArgs[0].Key)
	if err != nil {
		t.Fatal(err)
	}
	changed := string(text)
	for line := range strings.Lines(d.Input) {
		old, replacement, ok := strings.Cut(strings.TrimSpace(line), " => ")
		if !ok || !strings.Contains(changed, old) {
			t.Fatalf("%s: %q is not in the file", d.Pos, line)
		}
		changed = strings.Replace(changed, old, s.expand(replacement), 1)
	}
	writeFile(t, d.CmdArgs[1].Key, changed)
	return ""
}

// otherChange is a change of another operator that reaches the store first: a drain, or the removal of a server.
func (s *session) otherChange(t *testing.T, what, server string) {
	doc, err := s.configuration.Load(context.Background(), s.configuration.Head().Version)
	if err != nil {
		t.Fatal(err)
	}
	switch what {
	case "drain":
		doc.DrainedBackendServers = append([]string{server}, doc.DrainedBackendServers...)
	case "remove":
		var kept []policy.BackendServer
		for _, b := range doc.BackendServers {
			if b.ID != server {
				kept = append(kept, b)
			}
		}
		doc.BackendServers = kept
	default:
		t.Fatalf("unknown change %s", what)
	}
	_, err = s.configuration.Apply(context.Background(), config.Change{
		ID: "other-" + server, Operator: "platform", Reason: "meanwhile", Base: s.configuration.Head().Version, Document: doc,
	})
	if err != nil {
		t.Fatal(err)
	}
}

// run runs a command line and returns what it printed, or only the exit status. With save=FILE it
// writes the standard output to a file.
func (s *session) run(t *testing.T, d *datadriven.TestData) string {
	var stdout, stderr bytes.Buffer
	line, input, _ := strings.Cut(d.Input, " <<< ")
	env := &environment{stdin: strings.NewReader(input), stdout: &stdout, stderr: &stderr, newID: s.nextID}
	status := env.run(context.Background(), fields(s.expand(line)), nil)
	if d.HasArg("save") {
		var file string
		d.ScanArgs(t, "save", &file)
		writeFile(t, file, stdout.String())
	}
	if d.HasArg("status") {
		return fmt.Sprintf("exit status %d\n", status)
	}
	return s.shorten(fmt.Sprintf("%s%sexit status %d\n", section("stderr", stderr.String()), section("stdout", stdout.String()), status))
}

func section(name, text string) string {
	if text == "" {
		return ""
	}
	return "--- " + name + "\n" + strings.TrimRight(text, "\n") + "\n---\n"
}

func (s *session) nextID() string {
	s.ids++
	return fmt.Sprintf("change-%d", s.ids)
}

func (s *session) expand(text string) string {
	for name, address := range s.names {
		text = strings.ReplaceAll(text, name, address)
	}
	for _, name := range []string{"platform", "spares", "orders"} {
		text = strings.ReplaceAll(text, "HASH("+name+")", policy.HashToken("token-of-operator-"+name))
	}
	return text
}

func (s *session) shorten(text string) string {
	for name, address := range s.names {
		text = strings.ReplaceAll(text, address, name)
	}
	return text
}

// fields splits a command line at spaces outside double quotes.
func fields(line string) []string {
	var list []string
	for i, part := range strings.Split(line, `"`) {
		if i%2 == 1 {
			list = append(list, part)
		} else {
			list = append(list, strings.Fields(part)...)
		}
	}
	return list
}

// Guards against change ids that repeat between runs: the second change would count as a repeat of the first.
func TestMainMakesDistinctChangeIDs(t *testing.T) {
	t.Chdir(t.TempDir())
	writeFile(t, "o.token", "token-of-operator-platform")
	seen := map[string]bool{}
	for range 3 {
		var stdout, stderr bytes.Buffer
		args := []string{"drain", "-admin", closedAddress(t), "-token-file", "o.token", "-reason", "r", "b"}
		if status := Main(args, strings.NewReader(""), &stdout, &stderr); status != ExitFailed {
			t.Fatalf("exit status %d, want %d: %s", status, ExitFailed, stderr.String())
		}
		line, _, _ := strings.Cut(stderr.String(), "\n")
		id := strings.TrimPrefix(line, "change id: ")
		if _, err := uuid.Parse(id); err != nil || seen[id] {
			t.Fatalf("change id %q is not a new one: %v", id, err)
		}
		seen[id] = true
	}
}
