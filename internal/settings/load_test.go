package settings_test

import (
	"strings"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/settings"
)

const validSettings = `
host_id = "north-1-entry-1"
failure_domain = "north-1"
caller_address = "192.0.2.1:7080"
peer_address = "192.0.2.1:7081"
admin_address = "192.0.2.1:7082"
[store]
url = "http://192.0.2.10:8500"
`

// Parse must apply the documented defaults. A missing default would change a process's behaviour without an error.
func TestParseFillsDefaults(t *testing.T) {
	s, err := settings.Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	want := settings.Settings{
		HostID: s.HostID, FailureDomain: s.FailureDomain,
		CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress, AdminAddress: s.AdminAddress,
		Store:  settings.Store{URL: s.Store.URL, KeyPrefix: "foxtailtack/", TimeoutMs: 2000},
		Log:    settings.Log{Level: "info", TraceSample: 0.01},
		Limits: settings.Limits{MaxConnections: 10000, MaxHeaderBytes: 32768, StopTimeoutMs: 30000},
	}
	if s.Store != want.Store || s.Log != want.Log || s.Limits != want.Limits || s.Comparison.RoundRobin {
		t.Errorf("got %+v, want %+v", *s, want)
	}
}

// Operators see only the error text: it must name the key in the file and the allowed values, and must not contain Go type
// names.
func TestParseErrorNamesTheInvalidKey(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`[store]`, "[store]\nlevle = 1", `unknown key "store.levle"`},
		{`[store]`, "[store]\ntimeout_ms = \"2s\"", `line 8: key "store.timeout_ms": cannot decode TOML string into int`},
		{`[store]`, "[store]\ntimeout_ms = 90000", `key "store.timeout_ms": value 90000 is not allowed: want max 60000`},
		{`[store]`, "[log]\nlevel = \"loud\"\n[store]", `key "log.level": value "loud" is not allowed: want one of debug, info, warn, error`},
		{`peer_address = "192.0.2.1:7081"`, ``, `key "peer_address" is missing`},
		{`host_id = "north-1-entry-1"`, ``, `key "host_id" is missing`},
		{`url = "http://192.0.2.10:8500"`, ``, `key "store.url" is missing`},
		{`http://192.0.2.10:8500`, `http://store.example:8500`, `want http:// or https:// with an IP address and port`},
		{`"192.0.2.1:7081"`, `"localhost:7081"`, `key "peer_address": ParseAddr("localhost"): unable to parse IP`},
	} {
		_, err := settings.Parse([]byte(strings.Replace(validSettings, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "settings.") {
			t.Errorf("%s instead of %s: got error %v, want %s", c.new, c.old, err, c.want)
		}
	}
}

// Zero limits used to be accepted. The process then accepted no caller connections, aborted each store call immediately, or
// aborted all running requests when it stopped.
func TestParseRejectsZeroLimits(t *testing.T) {
	for _, key := range []string{"store.timeout_ms", "limits.max_connections", "limits.max_header_bytes", "limits.stop_timeout_ms"} {
		table, name, _ := strings.Cut(key, ".")
		text := validSettings + "[" + table + "]\n" + name + " = 0\n"
		if table == "store" {
			text = validSettings + name + " = 0\n"
		}
		_, err := settings.Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s = 0: got %v, want an error that names the key", key, err)
		}
	}
}
