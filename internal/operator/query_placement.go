package operator

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/admin"
)

func (e *environment) placementCommand() subcommands.Command {
	var q admin.PlacementQuery
	return &leafCommand{
		env: e, name: admin.PlacementQueryName, contactsEntryHost: true,
		synopsis: "show where an entry host of foxtailtack gateway would send a request now and why, without sending it",
		registerFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&q.HostName, "host", "", "host name of the request (required)")
			flags.StringVar(&q.Path, "path", "/", "path of the request")
			flags.StringVar(&q.Customer, "customer", "", "name of the customer on whose behalf the request is made")
			flags.StringVar(&q.Object, "object", "", "key of the object that the request concerns")
			flags.DurationVar(&q.CallerTimeout, "caller-timeout", 0, "time for which the caller waits; 0 means the timeout of the route")
		},
		run: func(ctx context.Context, c *commandInvocation) error {
			if q.HostName == "" {
				return usageError("-host is missing, want the host name of the request")
			}
			if q.CallerTimeout != 0 && q.CallerTimeout < time.Millisecond {
				return usageError("-caller-timeout is %s, want at least 1ms", q.CallerTimeout)
			}
			var out admin.PlacementExplanation
			if err := c.query(ctx, admin.PlacementQueryName, q.Values(), &out); err != nil {
				return err
			}
			return c.print(out, func(w io.Writer) { printPlacement(w, &out) })
		},
	}
}

func printPlacement(w io.Writer, out *admin.PlacementExplanation) {
	fmt.Fprintf(w, "host: %s in %s, region %s\nconfiguration: version %d, revision %d of the store\n",
		out.Host, out.FailureDomain, out.Region, out.ConfigurationVersion, out.Revision)
	if route := out.Route; route != nil {
		fmt.Fprintf(w, "route: %s for %s%s to %s, home regions %s, SLO %d ms, timeout %d ms\n",
			route.Name, route.HostName, route.Prefix, targets(route.Targets), listOr(route.Homes, "all"), route.SLOMs, route.TimeoutMs)
	}
	if customer := out.Customer; customer != nil {
		limit := "none"
		if customer.RatePerSecond > 0 {
			limit = fmt.Sprintf("%g a second and %g at once", customer.RatePerSecond, customer.Burst)
		}
		fmt.Fprintf(w, "customer: %s, home regions %s, usage cap %s\n", customer.Name, listOr(customer.Homes, "all"), limit)
	}
	if out.Route != nil {
		fmt.Fprintf(w, "rank: %d, allowed regions: %s\n", out.Rank, listOr(out.Regions, "none"))
	}
	if out.Service != "" {
		printPlacementOfService(w, out)
	}
	printDecision(w, out)
	if len(out.Servers) == 0 {
		return
	}
	fmt.Fprintln(w)
	printTable(w, placementRows(out.Servers))
	if out.Omitted > 0 {
		fmt.Fprintf(w, "and %d more\n", out.Omitted)
	}
}

func printPlacementOfService(w io.Writer, out *admin.PlacementExplanation) {
	placed := "by object"
	if !out.PlacedByObject {
		placed = "by request, so the next one may have other candidates"
	}
	kept := "requests may go to all allowed regions"
	if out.KeepsRegion {
		kept = "requests stay in the region of the host"
	}
	fmt.Fprintf(w, "service: %s, placed %s; %s\nservers: %d usable, %d in other regions\n", out.Service, placed, kept, out.Usable, out.OtherRegions)
}

func printDecision(w io.Writer, out *admin.PlacementExplanation) {
	if r := out.Rejection; r != nil {
		fmt.Fprintf(w, "decision: rejected with %d, %d %s: %s", r.Status, r.Code, r.Name, r.Message)
		if r.RetryAfterMs > 0 {
			fmt.Fprintf(w, "; Retry-After %d to %d ms", r.RetryAfterMs, r.LongestRetryAfterMs)
		}
		fmt.Fprintln(w)
		return
	}
	for i := range out.Servers {
		if s := &out.Servers[i]; s.Chosen {
			fmt.Fprintf(w, "decision: sent to %s, response expected after %d ms (%s)\n", s.ID, s.ExpectedMs, out.Reason)
		}
	}
}

// placementRows returns the rows of the table of servers, with the heading.
func placementRows(servers []admin.PlacementServer) [][]string {
	rows := [][]string{{"SERVER", "REGION", "FAILURE DOMAIN", "CANDIDATE", "EXPECTED MS", "LOAD", "AGE MS", "SPEED", "WARM", "LIMIT", "STATE", "REASON"}}
	for i := range servers {
		s := &servers[i]
		age, limit, reason := "-", "-", s.Reason
		if s.LoadAgeMs >= 0 {
			age = fmt.Sprint(s.LoadAgeMs)
		}
		if s.RateLimit > 0 {
			limit = fmt.Sprintf("%.3g of %.3g/s", s.RateShare, s.RateLimit)
		}
		if s.Chosen {
			reason = "chosen"
		}
		rows = append(rows, []string{
			s.ID, s.Region, s.FailureDomain, fmt.Sprint(s.Candidate), fmt.Sprint(s.ExpectedMs), fmt.Sprintf("%.1f/%d", s.Load, s.Slots), age,
			fmt.Sprintf("%.2f", s.Speed), fmt.Sprint(s.Warm), limit, listOr(s.States, "-"), reason,
		})
	}
	return rows
}

// targets returns the services of a route with their weights if there are several.
func targets(weights map[string]int) string {
	names := slices.Sorted(maps.Keys(weights))
	if len(names) > 1 {
		for i, name := range names {
			names[i] = fmt.Sprintf("%s:%d", name, weights[name])
		}
	}
	return listOr(names, "no service")
}

// listOr returns the items separated by commas, or the text for an empty list.
func listOr(items []string, empty string) string {
	if len(items) == 0 {
		return empty
	}
	return strings.Join(items, ", ")
}
