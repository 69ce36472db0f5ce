package operator

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"strings"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/lookup"
)

func (e *environment) explainCommand() subcommands.Command {
	var service, client string
	return &leafCommand{
		env: e, name: "explain", contactsEntryHost: true,
		synopsis: "show which entry hosts a look-up names and why",
		registerFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&service, "service", "", "service (required)")
			flags.StringVar(&client, "client", "", "IP address of the client (required)")
		},
		run: func(ctx context.Context, c *commandInvocation) error {
			if service == "" || client == "" {
				return usageError("-service and -client are required")
			}
			var out lookup.Explanation
			query := url.Values{"service": {service}, "client": {client}}
			if err := c.query(ctx, "explain", query, &out); err != nil {
				return err
			}
			return c.print(out, func(w io.Writer) { printExplanation(w, &out) })
		},
	}
}

func printExplanation(w io.Writer, out *lookup.Explanation) {
	block := out.Block
	if block == "" {
		block = "none, so the sites of the answering host's failure domain come first"
	}
	fmt.Fprintf(w, "block: %s\nsites: %s\npolicy version: %d, time to live: %d ms\n\n",
		block, strings.Join(out.Sites, ", "), out.Response.Version, out.Response.TTLMs)
	rows := [][]string{{"HOST", "SITE", "NAMED", "WEIGHT", "USABLE SLOTS", "REASON"}}
	for _, h := range out.Hosts {
		rows = append(rows, []string{h.ID, h.Site, fmt.Sprint(h.Named), fmt.Sprint(h.Weight), fmt.Sprint(h.Usable), h.Reason})
	}
	printTable(w, rows)
}
