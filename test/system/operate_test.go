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

// Exit statuses of the operators' command line; docs/command-line.md lists them.
const (
	exitConflict = 3
	exitStore    = 4
)

// operateAt runs an operators' command through the given hosts and returns its output and exit status. The flags of the
// connection stand behind the name of the command, which is the words before the first flag.
func (d *deployment) operateAt(hosts []string, arguments ...string) (string, int) {
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

// mustOperate runs a command through any host that answers.
func (d *deployment) mustOperate(arguments ...string) string {
	d.t.Helper()
	output, status := d.operateAt(allHosts, arguments...)
	if status != 0 {
		d.t.Fatalf("%s: exit status %d\n%s", strings.Join(arguments, " "), status, output)
	}
	return output
}

// versionWatch samples the version in force on every host and remembers each step back.
type versionWatch struct {
	stop    chan struct{}
	stopped sync.WaitGroup
	back    []string
}

// watchVersions starts to sample. A process that has just started has version 0 until it learns of a configuration.
func (d *deployment) watchVersions() *versionWatch {
	w := &versionWatch{stop: make(chan struct{})}
	w.stopped.Go(func() {
		highest := map[string]policy.Version{}
		for {
			for _, id := range allHosts {
				h, ok := d.health(id)
				if ok && h.ConfigVersion > 0 && h.ConfigVersion < highest[id] {
					w.back = append(w.back, id)
				}
				highest[id] = max(highest[id], h.ConfigVersion)
			}
			select {
			case <-w.stop:
				return
			case <-time.After(pollEvery):
			}
		}
	})
	return w
}

// finish ends the sampling and reports hosts on which a lower version came back into force.
func (w *versionWatch) finish(d *deployment) {
	d.t.Helper()
	close(w.stop)
	w.stopped.Wait()
	if len(w.back) > 0 {
		d.t.Errorf("a lower version came back into force on %v", w.back)
	}
}

// reaches reports whether a host says that it hears another one.
func (d *deployment) reaches(from, to string) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+d.Snapshot().Host(from).AdminAddress.String()+"/admin/v1/queries/hosts", nil)
	d.check(err)
	request.Header.Set("Authorization", "Bearer "+fleet.OperatorToken)
	response, err := healthClient.Do(request)
	d.check(err)
	defer func() { _ = response.Body.Close() }()
	var answer admin.HostsResponse
	d.check(json.NewDecoder(response.Body).Decode(&answer))
	for _, h := range answer.Hosts {
		if h.ID == to {
			return h.Reachable
		}
	}
	return false
}
