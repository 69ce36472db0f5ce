package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"regexp"
	"strconv"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/admin"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// versionLine matches the comment in which `policy show` states the version of its output. `policy apply` reads the base
// version from it. If an operator edits the output of show and applies it, a change that was accepted in between is detected.
var versionLine = regexp.MustCompile(`(?m)^# version: ([0-9]+)$`)

// unsetBaseVersion means that the -base flag is not given.
const unsetBaseVersion = -1

func (e *environment) policyGroup() subcommands.Command {
	return &commandGroup{env: e, name: "policy", synopsis: "check, apply, roll back and read the steering policy", commands: []subcommands.Command{
		e.policyCheck(), e.policyApply(), e.policyRollback(), e.policyShow(), e.policyHistory(),
	}}
}

func (e *environment) policyApply() subcommands.Command {
	var f changeFlags
	var file string
	var base int64
	return &leafCommand{
		env: e, name: "apply", contactsEntryHost: true,
		synopsis: "make the policy of a file the accepted one",
		registerFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&file, "file", "", "policy in TOML (required)")
			flags.Int64Var(&base, "base", unsetBaseVersion, "version that the change was made on, 0 for the first policy; default: the line \"# version: N\" of the file")
			f.register(flags)
		},
		run: func(ctx context.Context, c *commandInvocation) error { return c.applyPolicy(ctx, &f, file, base) },
	}
}

// applyPolicy sends the policy in a file to an entry host, with its base version.
func (c *commandInvocation) applyPolicy(ctx context.Context, f *changeFlags, file string, base int64) error {
	text, _, err := readPolicy(file)
	if err != nil {
		return err
	}
	version, err := c.baseVersion(ctx, text, base)
	if err != nil {
		return err
	}
	header := map[string]string{admin.HeaderBaseVersion: strconv.FormatInt(version, 10)}
	return c.sendChange(ctx, f, "apply", header, text)
}

// readPolicy reads and validates a policy file, so that its errors are reported before anything is sent.
func readPolicy(file string) ([]byte, *policy.Document, error) {
	if file == "" {
		return nil, nil, usageError("-file is missing, want a policy in TOML")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, usageError("-file cannot be read: %v", err)
	}
	doc, err := policy.Decode(text)
	if err != nil {
		return nil, nil, result.Fail(result.InvalidPolicy, "%s: %v", file, err)
	}
	if _, err := policy.Compile(doc, 0, ""); err != nil {
		return nil, nil, err
	}
	return text, doc, nil
}

// baseVersion returns the version that a change is based on: the value of -base, else the version line of the file, else 0 if
// no policy is accepted yet. It never falls back to the accepted version, because that would hide a change that another operator
// made in between.
func (c *commandInvocation) baseVersion(ctx context.Context, text []byte, base int64) (int64, error) {
	if base >= 0 {
		return base, nil
	}
	if match := versionLine.FindSubmatch(text); match != nil {
		return strconv.ParseInt(string(match[1]), 10, 64)
	}
	accepted, err := c.acceptedVersion(ctx)
	if err != nil {
		return 0, err
	}
	if accepted == 0 {
		return 0, nil
	}
	return 0, usageError("the file has no line \"# version: N\" and version %d is accepted; compare the file with `policy show` and give -base %d if the change is meant for this version", accepted, accepted)
}

// acceptedVersion returns the version of the accepted policy, or 0 if no policy is accepted yet.
func (c *commandInvocation) acceptedVersion(ctx context.Context) (int64, error) {
	response, err := c.queryRaw(ctx, "policy", nil)
	var remote *remoteFailure
	if errors.As(err, &remote) && remote.body.Code == result.NoPolicy {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return strconv.ParseInt(response.header.Get(admin.HeaderVersion), 10, 64)
}

func (e *environment) policyRollback() subcommands.Command {
	var f changeFlags
	var to uint64
	return &leafCommand{
		env: e, name: "rollback", contactsEntryHost: true,
		synopsis: "make the policy of an earlier version the accepted one again, as a new version",
		registerFlags: func(flags *flag.FlagSet) {
			flags.Uint64Var(&to, "to", 0, "version to return to (required)")
			f.register(flags)
		},
		run: func(ctx context.Context, c *commandInvocation) error {
			if to == 0 {
				return usageError("-to is missing, want a version of `policy history`")
			}
			return c.sendJSONChange(ctx, &f, "rollback", admin.RollbackBody{To: policy.Version(to)})
		},
	}
}

// withVersionLine returns the policy text with a version line in front of it.
func withVersionLine(version string, text []byte) []byte {
	return append(fmt.Appendf(nil, "# version: %s\n", version), text...)
}
