package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/foxtailtack/foxtailtack/internal/admin"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// remoteFailure is a failure that an entry host reported in its response.
type remoteFailure struct {
	host string
	body admin.FailureBody
}

func (r *remoteFailure) Error() string { return r.body.Message }

// failureOutput is the JSON output for a failure.
type failureOutput struct {
	admin.FailureBody
	Meaning string `json:"meaning"`
	// Host is the entry host that responded. It is empty if none did.
	Host       string `json:"host,omitempty"`
	ExitStatus int    `json:"exit_status"`
}

// reportError prints an error, if there is one, and returns the exit status.
func (c *commandInvocation) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	var usageErr *commandLineError
	if errors.As(err, &usageErr) {
		fmt.Fprintf(c.env.stderr, "usage: %s\n", usageErr.message)
		return ExitUsage
	}
	out := describe(err)
	out.ExitStatus = exitStatus(out.Code)
	if c.output == outputJSON {
		_ = json.NewEncoder(c.env.stderr).Encode(out)
	} else {
		printFailure(c.env.stderr, out)
	}
	return out.ExitStatus
}

// describe returns the output for an error, with its code, meaning and next step.
func describe(err error) failureOutput {
	var remote *remoteFailure
	if errors.As(err, &remote) {
		return failureOutput{FailureBody: remote.body, Meaning: remote.body.Code.Describe().Meaning, Host: remote.host}
	}
	var invalid *policy.InvalidError
	failure := result.FromError(err)
	if errors.As(err, &invalid) {
		failure = result.Fail(result.InvalidPolicy, "%s", invalid.Error())
	}
	var local *localFailure
	if errors.As(err, &local) {
		body := admin.FailureBody{Code: local.code, Name: local.name, Message: local.message, NextStep: local.nextStep}
		return failureOutput{FailureBody: body, Meaning: local.meaning}
	}
	description := failure.Code.Describe()
	return failureOutput{
		FailureBody: admin.FailureBody{Code: failure.Code, Name: description.Name, Message: failure.Message, NextStep: admin.NextStep(failure.Code)},
		Meaning:     description.Meaning,
	}
}

// localFailure is a failure that the command line program detects itself, without a result code from an entry host.
type localFailure struct {
	code                             result.Code
	name, meaning, message, nextStep string
}

func (l *localFailure) Error() string { return l.message }

func printFailure(w io.Writer, out failureOutput) {
	fmt.Fprintf(w, "failed: %d %s\n", out.Code, out.Name)
	if out.Host != "" {
		fmt.Fprintf(w, "answered by: %s\n", out.Host)
	}
	fmt.Fprintf(w, "meaning: %s\n", out.Meaning)
	lines := strings.Split(out.Message, "\n")
	if len(lines) == 1 {
		fmt.Fprintf(w, "message: %s\n", lines[0])
	} else {
		fmt.Fprintf(w, "message:\n  %s\n", strings.Join(lines, "\n  "))
	}
	fmt.Fprintf(w, "next step: %s\n", out.NextStep)
}

// print writes a result to standard output, either value as JSON or the text that the function text writes.
func (c *commandInvocation) print(value any, text func(io.Writer)) error {
	if c.output != outputJSON {
		text(c.env.stdout)
		return nil
	}
	encoder := json.NewEncoder(c.env.stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// printTable writes rows in aligned columns. The first row is the heading.
func printTable(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	_ = t.Flush()
}
