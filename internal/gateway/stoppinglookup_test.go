package gateway_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/settings"
	"github.com/foxtailtack/foxtailtack/internal/standin/kvstore"
	"github.com/foxtailtack/foxtailtack/platform"
)

// lookupFrom returns the addresses in the look-up response for a client in a region and failure domain.
func (h *host) lookupFrom(region, domain string) []string {
	res, err := http.Get(h.url("lookup_address", "/lookup?Name=shop.example&Region="+region+"&Zone="+domain))
	if err != nil {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	var body struct{ Addrs []string }
	_ = json.NewDecoder(res.Body).Decode(&body)
	return body.Addrs
}

// Guards against look-ups that direct callers to other regions while the only host of their home region is restarted: asked at the
// stopping host itself, and at a host of another region, which sees that the entry was removed.
func TestRestartOfOnlyHostInHomeRegionKeepsCallersThere(t *testing.T) {
	kv := kvstore.New()
	kv.Put("op/config", strings.ReplaceAll(configuration, `"Attempts":2}`, `"Attempts":2,"HomeRegions":["r"]}`))
	inRegion := func(id, region string) func(*settings.Gateway) {
		return func(s *settings.Gateway) {
			s.HostID, s.FailureDomain, s.Region = id, region+"1", region
			s.FailureDomains = map[string]string{"r1": "r", "q1": "q"}
		}
	}
	home := startHostAt(t, kv, platform.Dialect{}, nil, inRegion("home", "r"))
	others := []*host{startHostAt(t, kv, platform.Dialect{}, nil, inRegion("other", "q")), startHostAt(t, kv, platform.Dialect{}, nil, inRegion("other-2", "q"))}
	want := []string{home.process.Address("caller_address").String()}
	for _, h := range append(others, home) {
		h.eventually("all hosts", func() bool {
			return len(h.lookupFrom("q", "q1")) == len(others) && slices.Equal(h.lookupFrom("r", "r1"), want)
		})
	}
	home.cancel()
	for _, h := range others {
		h.eventually("the stop", func() bool { return strings.Contains(h.log.String(), "event=host_stopping") })
	}
	home.eventually("the stop", func() bool { return home.ready() == http.StatusServiceUnavailable })
	for _, h := range append(others, home) {
		if got := h.lookupFrom("r", "r1"); !slices.Equal(got, want) {
			t.Errorf("during the stop the host that is asked returns %v, want %v", got, want)
		}
	}
	<-home.done
	for _, h := range others {
		if got := h.lookupFrom("r", "r1"); !slices.Equal(got, want) {
			t.Errorf("after the stop the host that is asked returns %v, want %v", got, want)
		}
	}
}
