package operator

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

const (
	// minTokenLength is the smallest token length in bytes. It makes it infeasible to guess a token from its
	// hash, which each operator can read in the policy.
	minTokenLength = 16
	// maxTokenLength limits the bytes that are read from standard input.
	maxTokenLength = 4096
)

func (e *environment) tokenGroup() subcommands.Command {
	return &commandGroup{env: e, name: "token", synopsis: "work with tokens of callers and operators", commands: []subcommands.Command{
		&leafCommand{
			env: e, name: "hash",
			synopsis: "read a token from standard input and print its hash for the policy",
			run:      func(_ context.Context, c *commandInvocation) error { return c.hashToken() },
		},
	}}
}

func (c *commandInvocation) hashToken() error {
	text, err := io.ReadAll(io.LimitReader(c.env.stdin, maxTokenLength))
	if err != nil {
		return usageError("standard input cannot be read: %v", err)
	}
	token := strings.TrimSpace(string(text))
	if len(token) < minTokenLength || strings.ContainsAny(token, " \t\r\n") {
		return usageError("the token has %d characters, want one line with at least %d characters and no space", len(token), minTokenLength)
	}
	out := map[string]string{"token_sha256": policy.HashToken(token)}
	return c.print(out, func(w io.Writer) { fmt.Fprintln(w, out["token_sha256"]) })
}
