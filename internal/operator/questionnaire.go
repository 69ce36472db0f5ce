package operator

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/questionnaire"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

func (e *environment) questionnaireGroup() subcommands.Command {
	return &commandGroup{env: e, name: "questionnaire", synopsis: "generate the configuration of a deployment from a team's answers", commands: []subcommands.Command{
		e.questionnaireNew(), e.questionnaireGenerate(),
	}}
}

func (e *environment) questionnaireNew() subcommands.Command {
	var file string
	return &leafCommand{
		env: e, name: "new",
		synopsis: "write an empty form with comments",
		registerFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&file, "file", "", "file to write; it must not exist; default: standard output")
		},
		run: func(_ context.Context, c *commandInvocation) error { return c.writeForm(file) },
	}
}

// writeForm writes an empty questionnaire to a new file, or to standard output if file is empty.
func (c *commandInvocation) writeForm(file string) error {
	if file == "" {
		_, err := c.env.stdout.Write(questionnaire.Form())
		return err
	}
	if err := writeNewFile(file, questionnaire.Form()); err != nil {
		return err
	}
	return c.print(map[string]string{"file": file}, func(w io.Writer) { fmt.Fprintf(w, "wrote %s\n", file) })
}

// writeNewFile creates a file and writes text to it. It fails if the file exists, so that a completed form is not overwritten.
func writeNewFile(file string, text []byte) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return usageError("-file cannot be written: %v", err)
	}
	if _, err := f.Write(text); err != nil {
		_ = f.Close()
		return usageError("-file cannot be written: %v", err)
	}
	return f.Close()
}

func (e *environment) questionnaireGenerate() subcommands.Command {
	var file, dir string
	return &leafCommand{
		env: e, name: "generate",
		synopsis: "write the policy and one settings file for each entry host",
		registerFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&file, "file", "", "answers in TOML (required)")
			flags.StringVar(&dir, "out", "", "directory for policy.toml and settings/ (required)")
		},
		run: func(_ context.Context, c *commandInvocation) error { return c.generateConfiguration(file, dir) },
	}
}

// generateConfiguration writes the policy and the settings files for the answers in a file to the directory dir.
func (c *commandInvocation) generateConfiguration(file, dir string) error {
	if file == "" || dir == "" {
		return usageError("-file and -out are required")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return usageError("-file cannot be read: %v", err)
	}
	answers, err := questionnaire.Decode(text)
	if err != nil {
		return result.Fail(result.InvalidPolicy, "%s: %v", file, err)
	}
	policyDocument, hostSettings, err := questionnaire.Generate(answers)
	if err != nil {
		return err
	}
	files, err := questionnaire.Files(policyDocument, hostSettings)
	if err != nil {
		return err
	}
	if err := writeFiles(dir, files); err != nil {
		return err
	}
	names := slices.Sorted(maps.Keys(files))
	return c.print(map[string][]string{"files": names}, func(w io.Writer) {
		for _, name := range names {
			fmt.Fprintf(w, "wrote %s\n", filepath.Join(dir, filepath.FromSlash(name)))
		}
	})
}

// writeFiles writes files to the directory dir. The keys are paths relative to dir, separated by slashes.
func writeFiles(dir string, files map[string][]byte) error {
	if err := os.MkdirAll(filepath.Join(dir, "settings"), 0o755); err != nil {
		return usageError("-out cannot be written: %v", err)
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, filepath.FromSlash(name)), text, 0o644); err != nil {
			return usageError("-out cannot be written: %v", err)
		}
	}
	return nil
}
