package measure

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/questionnaire"
)

// deployment is what the answers of a deployment say.
type deployment struct {
	doc *policy.Document
	// shares are the parts of the second service's slots that its peaks use.
	shares shares
}

// generate makes the policy of a deployment from its answers with the shipped command.
func generate(ctx context.Context, entry, name, dir string) (deployment, error) {
	path := filepath.Join("deployments", name, "answers.toml")
	out := filepath.Join(dir, "generated")
	output, err := exec.CommandContext(ctx, entry, "questionnaire", "generate", "-file", path, "-out", out).CombinedOutput()
	if err != nil {
		return deployment{}, fmt.Errorf("questionnaire generate: %w: %s", err, output)
	}
	text, err := os.ReadFile(filepath.Join(out, "policy.toml"))
	if err != nil {
		return deployment{}, err
	}
	doc, err := policy.Decode(text)
	if err != nil {
		return deployment{}, err
	}
	answers, err := readAnswers(path)
	if err != nil {
		return deployment{}, err
	}
	return deployment{doc: doc, shares: peakShares(answers.Services[1])}, nil
}

func readAnswers(path string) (*questionnaire.Answers, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return questionnaire.Decode(text)
}
