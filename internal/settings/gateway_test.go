package settings_test

import (
	"strings"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/settings"
)

const validGateway = `
host_id = "h1"
failure_domain = "north-1"
region = "north"
caller_address = "192.0.2.1:7080"
ready_address = "192.0.2.1:7081"
lookup_address = "192.0.2.1:7082"
peer_address = "192.0.2.1:7083"
admin_address = "192.0.2.1:7084"
bootstrap = ["192.0.2.2:7083"]
store_address = "192.0.2.10:8500"
memory_limit_mb = 284
[failure_domains]
"north-1" = "north"
"south-1" = "south"
[bounds]
stop_grace_ms = 6000
lookup_ttl_ms = 5000
retry_ratio = 0.2
retry_slack = 60
`

// An invalid value must be rejected with an error that names its key. Otherwise the process would run with a bound that the
// operator did not set.
func TestParseGatewayErrorNamesTheInvalidKey(t *testing.T) {
	if _, err := settings.ParseGateway([]byte(validGateway)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`host_id = "h1"`, ``, `key "host_id" is missing`},
		{`host_id = "h1"`, "host_id = \"h1\"\nhots = 1", `unknown key "hots"`},
		{`store_address = "192.0.2.10:8500"`, ``, `key "store_address" is missing`},
		{`"192.0.2.1:7080"`, `"somewhere:1"`, `key "caller_address"`},
		{`stop_grace_ms = 6000`, `stop_grace_ms = "6s"`, `key "bounds.stop_grace_ms"`},
		{`lookup_ttl_ms = 5000`, `lookup_ttl_ms = 0`, `key "bounds.lookup_ttl_ms"`},
		{`region = "north"`, `region = "south"`, `key "failure_domains"`},
		{`memory_limit_mb = 284`, `memory_limit_mb = -1`, `key "memory_limit_mb"`},
	} {
		_, err := settings.ParseGateway([]byte(strings.Replace(validGateway, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s instead of %s: got error %v, want %s", c.new, c.old, err, c.want)
		}
	}
}
