package system

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/admin"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/standin/fleet"
)

// Exit statuses of the operators' commands, as listed in docs/command-line.md.
const (
	exitConflict     = 3
	exitStoreFailure = 4
)

// runCommandAt runs an operators' command against the given hosts and returns its output and exit status. It inserts the
// connection flags after the command name, which consists of up to two words before the first flag.
func (d *deployment) runCommandAt(hosts []string, arguments ...string) (string, int) {
	var addresses []string
	for _, id := range hosts {
		addresses = append(addresses, d.Snapshot().Host(id).AdminAddress.String())
	}
	name := 0
	for name < len(arguments) && name < 2 && !strings.HasPrefix(arguments[name], "-") {
		name++
	}
	all := append([]string{}, arguments[:name]...)
	all = append(all, "-admin", strings.Join(addresses, ","), "-token-file", d.TokenPath())
	all = append(all, arguments[name:]...)
	output, err := exec.CommandContext(context.WithoutCancel(d.t.Context()), d.Options.Entry, all...).CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		d.t.Error(err)
	}
	if exit != nil {
		return string(output), exit.ExitCode()
	}
	return string(output), 0
}

// mustRunCommand runs a command against any host that responds, and fails the test unless the command succeeds.
func (d *deployment) mustRunCommand(arguments ...string) string {
	d.t.Helper()
	output, status := d.runCommandAt(allHosts, arguments...)
	if status != 0 {
		d.t.Fatalf("%s: exit status %d\n%s", strings.Join(arguments, " "), status, output)
	}
	return output
}

// versionMonitor samples the version in force on every host and records each host on which it decreases.
type versionMonitor struct {
	stop           chan struct{}
	sampler        sync.WaitGroup
	regressedHosts []string
}

// monitorVersions starts the sampling. Version 0 is ignored: a newly started process reports it until it receives a configuration.
func (d *deployment) monitorVersions() *versionMonitor {
	w := &versionMonitor{stop: make(chan struct{})}
	w.sampler.Go(func() {
		highest := map[string]policy.Version{}
		for {
			for _, id := range allHosts {
				h, ok := d.health(id)
				if ok && h.ConfigVersion > 0 && h.ConfigVersion < highest[id] {
					w.regressedHosts = append(w.regressedHosts, id)
				}
				highest[id] = max(highest[id], h.ConfigVersion)
			}
			select {
			case <-w.stop:
				return
			case <-time.After(pollInterval):
			}
		}
	})
	return w
}

// stopAndCheck stops the sampling and reports the hosts on which a lower version came back into force.
func (w *versionMonitor) stopAndCheck(d *deployment) {
	d.t.Helper()
	close(w.stop)
	w.sampler.Wait()
	if len(w.regressedHosts) > 0 {
		d.t.Errorf("a lower version came back into force on %v", w.regressedHosts)
	}
}

// reaches reports whether a host lists another host as reachable.
func (d *deployment) reaches(from, to string) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+d.Snapshot().Host(from).AdminAddress.String()+"/admin/v1/queries/hosts", nil)
	d.requireNoError(err)
	request.Header.Set("Authorization", "Bearer "+fleet.OperatorToken)
	response, err := healthClient.Do(request)
	d.requireNoError(err)
	defer func() { _ = response.Body.Close() }()
	var hostList admin.HostsResponse
	d.requireNoError(json.NewDecoder(response.Body).Decode(&hostList))
	for _, h := range hostList.Hosts {
		if h.ID == to {
			return h.Reachable
		}
	}
	return false
}
