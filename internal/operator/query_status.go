package operator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/admin"
)

func (e *environment) hostsCommand() subcommands.Command {
	return &leafCommand{
		env: e, name: "hosts", contactsEntryHost: true,
		synopsis: "list the entry hosts as the answering one knows them",
		run: func(ctx context.Context, c *commandInvocation) error {
			var out admin.HostsResponse
			if err := c.query(ctx, "hosts", nil, &out); err != nil {
				return err
			}
			return c.print(out, func(w io.Writer) { printHosts(w, out.Hosts) })
		},
	}
}

func printHosts(w io.Writer, hosts []admin.HostStatus) {
	rows := [][]string{{"HOST", "FAILURE DOMAIN", "REGION", "STATE", "REACHABLE", "POLICY", "HEARD", "USABLE SLOTS"}}
	for _, h := range hosts {
		state := h.State
		if h.Retired {
			state += " (retired)"
		}
		rows = append(rows, []string{
			h.ID, h.FailureDomain, h.Region, state, fmt.Sprint(h.Reachable), fmt.Sprint(h.ConfigVersion),
			formatAge(h.LastMessageAgeMs), formatUsableSlots(h.Services),
		})
	}
	printTable(w, rows)
}

// formatAge returns an age in milliseconds as text. A negative age means that nothing was received yet.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String() + " ago"
}

// formatUsableSlots lists the number of usable slots of each service.
func formatUsableSlots(services []admin.ServiceHeadroom) string {
	text := ""
	for _, s := range services {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%s %d", s.Service, s.Usable)
	}
	return text
}

func (e *environment) slotsCommand() subcommands.Command {
	return &leafCommand{
		env: e, name: "slots", contactsEntryHost: true,
		synopsis: "list the slots of the answering entry host by backend server",
		run: func(ctx context.Context, c *commandInvocation) error {
			var out admin.SlotsResponse
			if err := c.query(ctx, "slots", nil, &out); err != nil {
				return err
			}
			return c.print(out, func(w io.Writer) { printSlots(w, out.Slots) })
		},
	}
}

func printSlots(w io.Writer, slots []admin.SlotStatus) {
	rows := [][]string{{"BACKEND SERVER", "SERVICE", "TOTAL", "USABLE HERE", "IN USE HERE"}}
	for _, s := range slots {
		rows = append(rows, []string{s.BackendServer, s.Service, fmt.Sprint(s.Total), fmt.Sprint(s.Usable), fmt.Sprint(s.InUse)})
	}
	printTable(w, rows)
}

func (e *environment) backendServersCommand() subcommands.Command {
	return &leafCommand{
		env: e, name: "backend-servers", contactsEntryHost: true,
		synopsis: "list the backend servers as the answering entry host knows them",
		run: func(ctx context.Context, c *commandInvocation) error {
			var out admin.BackendServersResponse
			if err := c.query(ctx, "backend-servers", nil, &out); err != nil {
				return err
			}
			return c.print(out, func(w io.Writer) { printBackendServers(w, out.BackendServers) })
		},
	}
}

func printBackendServers(w io.Writer, servers []admin.BackendServerStatus) {
	rows := [][]string{{"BACKEND SERVER", "SERVICE", "FAILURE DOMAIN", "ADDRESS", "SLOTS", "CONNECTIONS", "STATE", "NOTICE", "LOAD"}}
	for _, b := range servers {
		load := "unknown"
		if b.LoadAgeMs >= 0 {
			load = fmt.Sprintf("%.2f (%s)", b.Load, formatAge(b.LoadAgeMs))
		}
		rows = append(rows, []string{
			b.ID, b.Service, b.FailureDomain, b.Address, fmt.Sprint(b.Slots), fmt.Sprint(b.Connections), b.State, b.Notice, load,
		})
	}
	printTable(w, rows)
}
