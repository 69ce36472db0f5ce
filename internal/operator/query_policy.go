package operator

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/url"
	"strconv"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/admin"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/settings"
)

// checkOutput is the JSON output of `policy check` for a policy without errors.
type checkOutput struct {
	File           string `json:"file"`
	Hosts          int    `json:"hosts"`
	Services       int    `json:"services"`
	BackendServers int    `json:"backend_servers"`
	Blocks         int    `json:"blocks"`
}

func (e *environment) policyCheck() subcommands.Command {
	var file, settingsFile string
	return &leafCommand{
		env: e, name: "check",
		synopsis: "list all errors of a policy file, without an entry host",
		registerFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&file, "file", "", "policy in TOML (required)")
			flags.StringVar(&settingsFile, "settings", "", "settings file of an entry host to check against the policy")
		},
		run: func(_ context.Context, c *commandInvocation) error { return c.checkPolicy(file, settingsFile) },
	}
}

// checkPolicy validates a policy file and, if settingsFile is not empty, a settings file against it.
func (c *commandInvocation) checkPolicy(file, settingsFile string) error {
	_, doc, err := readPolicy(file)
	if err != nil {
		return err
	}
	if settingsFile != "" {
		if err := checkSettings(settingsFile, doc); err != nil {
			return err
		}
	}
	out := checkOutput{
		File: file, Hosts: len(doc.Hosts), Services: len(doc.Services),
		BackendServers: len(doc.BackendServers), Blocks: len(doc.Blocks),
	}
	return c.print(out, func(w io.Writer) {
		fmt.Fprintf(w, "no errors: %d entry hosts, %d services, %d backend servers, %d blocks of clients\n",
			out.Hosts, out.Services, out.BackendServers, out.Blocks)
	})
}

// checkSettings validates a settings file and checks that the policy has the same failure domain and peer address for its host.
// If they differ, the other hosts can't reach this host.
func checkSettings(file string, doc *policy.Document) error {
	s, err := settings.Load(file)
	if err != nil {
		return result.Fail(result.InvalidPolicy, "%v", err)
	}
	for _, h := range doc.Hosts {
		if h.ID != s.HostID {
			continue
		}
		if h.FailureDomain != s.FailureDomain {
			return result.Fail(result.InvalidPolicy, "%s: failure_domain: %q is not allowed: want %q as in the policy", file, s.FailureDomain, h.FailureDomain)
		}
		if h.PeerAddress != s.PeerAddress {
			return result.Fail(result.InvalidPolicy, "%s: peer_address: %q is not allowed: want %q as in the policy", file, s.PeerAddress, h.PeerAddress)
		}
		return nil
	}
	return result.Fail(result.InvalidPolicy, "%s: host_id: %q is not allowed: want an entry host of the policy", file, s.HostID)
}

func (e *environment) policyShow() subcommands.Command {
	var version uint64
	return &leafCommand{
		env: e, name: "show", contactsEntryHost: true,
		synopsis: "print the accepted policy, or that of a version",
		registerFlags: func(flags *flag.FlagSet) {
			flags.Uint64Var(&version, "version", 0, "version to print; default: the accepted one")
		},
		run: func(ctx context.Context, c *commandInvocation) error { return c.showPolicy(ctx, version) },
	}
}

// showOutput is the JSON output of `policy show`.
type showOutput struct {
	Version json.Number `json:"version"`
	// Policy is the policy in TOML.
	Policy string `json:"policy"`
}

// showPolicy prints a version of the policy, or the accepted policy if version is 0.
func (c *commandInvocation) showPolicy(ctx context.Context, version uint64) error {
	query := url.Values{}
	if version > 0 {
		query.Set("version", strconv.FormatUint(version, 10))
	}
	response, err := c.queryRaw(ctx, "policy", query)
	if err != nil {
		return err
	}
	c.printRespondingHost(response)
	number := response.header.Get(admin.HeaderVersion)
	text := withVersionLine(number, response.body)
	out := showOutput{Version: json.Number(number), Policy: string(response.body)}
	return c.print(out, func(w io.Writer) { _, _ = w.Write(text) })
}

func (e *environment) policyHistory() subcommands.Command {
	var limit int
	return &leafCommand{
		env: e, name: "history", contactsEntryHost: true,
		synopsis: "list the accepted versions, newest first",
		registerFlags: func(flags *flag.FlagSet) {
			flags.IntVar(&limit, "limit", 20, "largest number of versions")
		},
		run: func(ctx context.Context, c *commandInvocation) error {
			var out admin.HistoryResponse
			if err := c.query(ctx, "history", url.Values{"limit": {strconv.Itoa(limit)}}, &out); err != nil {
				return err
			}
			return c.print(out, func(w io.Writer) { printHistory(w, out) })
		},
	}
}

func printHistory(w io.Writer, out admin.HistoryResponse) {
	rows := [][]string{{"VERSION", "TIME", "OPERATOR", "CHANGE ID", "REASON"}}
	for _, v := range out.Versions {
		rows = append(rows, []string{fmt.Sprint(v.Version), v.Time, v.Operator, v.ChangeID, v.Reason})
	}
	printTable(w, rows)
}
