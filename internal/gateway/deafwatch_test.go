package gateway_test

import (
	"strings"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/standin/kvstore"
)

// A watch that is opened while the store drops its history stays open and tells nothing, while renewals are answered. The host
// would serve by the old configuration until the watch ends after 30 s.
func TestConfigurationArrivesThoughTheWatchIsDeaf(t *testing.T) {
	h := startHost(t).configure()
	h.eventually("a watch", func() bool { return h.kv.Waiting() == 1 })
	h.kv.SetFault(kvstore.Deaf)
	h.kv.Compact()
	h.eventually("a listing without the history", func() bool { return strings.Contains(h.log.String(), "event=store_regained") })
	h.kv.Put("op/config", strings.Replace(configuration, `"00000001"`, `"00000002"`, 1))
	h.eventually("version 2", func() bool {
		return strings.Contains(h.log.String(), "event=watch_deaf") && h.inForce("2")
	})
}

// inForce reports whether the host has logged that a version is in force.
func (h *host) inForce(version string) bool {
	for _, line := range strings.Split(h.log.String(), "\n") {
		if strings.Contains(line, "event=configuration_in_force") && strings.HasSuffix(strings.TrimSpace(line), "subject="+version) {
			return true
		}
	}
	return false
}
