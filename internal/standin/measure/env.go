package measure

import (
	"context"
	"fmt"
	"os/exec"
	"slices"
	"strings"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/admin"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/standin/fleet"
)

// env is the deployment of one scenario with what was measured on it.
type env struct {
	options Options
	fleet   *fleet.Fleet
	report  *report
	ledger  *ledger
	version policy.Version
	// shares are the parts of the flooded service's slots that normal work uses.
	shares shares
	// streams counts the streams made, to give each a seed of its own.
	streams uint64
	// lost names the backend servers whose counts cannot be read any more.
	lost []string
}

// startTimeout bounds the start of a deployment on a busy machine.
const startTimeout = 90 * time.Second

// startEnv starts a deployment, applies its policy and waits until every entry host uses its slots.
func startEnv(ctx context.Context, o Options, d deployment, dir string, s scenario) (*env, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Options{
		Dir: dir, Entry: o.Entry, Standin: o.Standin, Document: d.doc, StoreRegion: d.doc.Regions[0].Name,
		ServiceTime: serviceTimes(d.doc), RoundRobin: s.roundRobin,
	})
	if err != nil {
		return nil, err
	}
	e := &env{options: o, fleet: f, report: &report{name: s.name, title: s.title}, ledger: newLedger(), shares: d.shares}
	if err := e.ready(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return e, nil
}

func (e *env) ready(ctx context.Context) error {
	if _, err := e.change(ctx, "policy", "apply", "-base", "0", "-file", e.fleet.PolicyPath()); err != nil {
		return err
	}
	if err := e.fleet.WaitReady(ctx); err != nil {
		return err
	}
	return e.waitRamped(ctx)
}

// waitRamped waits until every entry host uses all slots of its backend servers, since a new one gets its slots over a time.
// Otherwise the first run of a deployment is slower than the later ones.
func (e *env) waitRamped(ctx context.Context) error {
	for _, h := range e.fleet.Document.Hosts {
		for {
			servers, err := e.fleet.BackendServers(h.ID)
			if err != nil {
				return err
			}
			if !slices.ContainsFunc(servers, func(s admin.BackendServerStatus) bool { return s.State == "ramping" }) {
				break
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(sampleInterval)
		}
	}
	return nil
}

// change runs a command of the operators' command line and returns the time until its version is in force on every running
// entry host, counted from the start of the command.
func (e *env) change(ctx context.Context, command ...string) (time.Duration, error) {
	started := time.Now()
	if err := e.operate(ctx, command...); err != nil {
		return 0, err
	}
	e.version++
	if err := e.fleet.WaitVersion(ctx, e.version); err != nil {
		return 0, err
	}
	return time.Since(started), nil
}

// operate runs a command of the operators' command line. The first words without a dash are the command.
func (e *env) operate(ctx context.Context, command ...string) error {
	words := commandWords(command)
	args := append([]string{}, command[:words]...)
	args = append(args, "-admin", strings.Join(e.fleet.AdminAddresses(), ","), "-token-file", e.fleet.TokenPath(), "-reason", "measurement")
	args = append(args, command[words:]...)
	output, err := exec.CommandContext(ctx, e.options.Entry, args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("foxtailtack %s: %w: %s", strings.Join(command[:words], " "), err, output)
	}
	return nil
}

// commandWords returns the number of words of the command itself: two for groups, one for the others.
func commandWords(command []string) int {
	if command[0] == "policy" || command[0] == "shift" {
		return 2
	}
	return 1
}

// flooded is the service that has a route for each rank; its urgent work may not be repeated.
func (e *env) flooded() *policy.Service { return &e.fleet.Document.Services[1] }

// first is the service with the lookups.
func (e *env) first() *policy.Service { return &e.fleet.Document.Services[0] }

// slots returns all slots of a service.
func (e *env) slots(service string) int {
	total := 0
	for _, b := range e.fleet.Document.BackendServers {
		if b.Service == service {
			total += b.Slots
		}
	}
	return total
}

// slotShare returns the part of the flooded service's slots that stands in a failure domain.
func (e *env) slotShare(domain string) float64 {
	slots := 0
	for _, b := range e.fleet.Snapshot().BackendServersIn(domain, e.flooded().Name) {
		slots += b.Slots
	}
	return float64(slots) / float64(e.slots(e.flooded().Name))
}

// capacity returns the requests a second that all slots of a service run.
func (e *env) capacity(service string) float64 {
	return float64(e.slots(service)) / e.fleet.Options.ServiceTime[service].Seconds()
}

// hosts lists the entry hosts in failure domains for which keep is true.
func (e *env) hosts(keep func(domain string) bool) []string {
	var ids []string
	for _, h := range e.fleet.Document.Hosts {
		if keep(h.FailureDomain) {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

// backends lists the backend servers in failure domains for which keep is true.
func (e *env) backends(keep func(domain string) bool) []string {
	var ids []string
	for _, b := range e.fleet.Document.BackendServers {
		if keep(b.FailureDomain) {
			ids = append(ids, b.ID)
		}
	}
	return ids
}

// domain returns a failure domain by the positions of its region and of itself in the region.
func (e *env) domain(region, n int) string {
	var found []string
	for _, d := range e.fleet.Document.FailureDomains {
		if d.Region == e.fleet.Document.Regions[region].Name {
			found = append(found, d.Name)
		}
	}
	return found[n]
}
