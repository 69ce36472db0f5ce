package gateway_test

import (
	"strings"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/standin/kvstore"
)

// Guards against serving with a stale configuration for 30 s, until the watch ends. A watch that is opened while the store
// compacts its history stays open and delivers no events, while lease renewals still succeed.
func TestConfigurationIsReadWhenWatchIsStalled(t *testing.T) {
	h := startHost(t).configure()
	h.eventually("opened a watch", func() bool { return h.kv.Waiting() == 1 })
	h.kv.SetFault(kvstore.Deaf)
	h.kv.Compact()
	h.eventually("regained the store by a listing", func() bool { return strings.Contains(h.log.String(), "event=store_regained") })
	h.kv.Put("op/config", strings.Replace(configuration, `"00000001"`, `"00000002"`, 1))
	h.eventually("configuration version 2 in force", func() bool {
		return strings.Contains(h.log.String(), "event=watch_deaf") && h.inForce("2")
	})
}

// Guards against serving with a stale configuration because the revision that shows the stall comes from a replica, which may lag
// behind the store by seconds.
func TestConfigurationIsReadWhenWatchIsStalledAndReplicasLag(t *testing.T) {
	h := startHost(t).configure()
	h.eventually("opened a watch", func() bool { return h.kv.Waiting() == 1 })
	h.kv.FreezeCopies()
	h.kv.SetFault(kvstore.Deaf)
	h.kv.Compact()
	h.eventually("regained the store by a listing", func() bool { return strings.Contains(h.log.String(), "event=store_regained") })
	h.kv.Put("op/config", strings.Replace(configuration, `"00000001"`, `"00000002"`, 1))
	h.eventually("configuration version 2 in force", func() bool { return h.inForce("2") })
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
