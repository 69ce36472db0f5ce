package questionnaire_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/questionnaire"
)

// filledForm returns the form with token hashes filled in.
func filledForm() string {
	text := string(questionnaire.Form())
	for _, token := range []string{"a", "b", "c"} {
		text = strings.Replace(text, `token_sha256 = ""`, `token_sha256 = "`+policy.HashToken(token)+`"`, 1)
	}
	return text
}

// Guards against contradictory answers that are accepted, reported twice, or reported without the question, the value and
// the allowed values, and against checks that stop at the first problem. Each case replaces parts of the filled form by
// invalid answers and lists the expected problems.
func TestGenerateReportsWrongAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/wrong", func(t *testing.T, d *datadriven.TestData) string {
		text := filledForm()
		for line := range strings.Lines(d.Input) {
			old, replacement, ok := strings.Cut(strings.TrimSpace(line), " => ")
			if !ok || !strings.Contains(text, old) {
				t.Fatalf("%s: %q is not in the form", d.Pos, line)
			}
			text = strings.Replace(text, old, strings.ReplaceAll(replacement, "; ", "\n"), 1)
		}
		return problemsOf(text)
	})
}

func problemsOf(text string) string {
	answers, err := questionnaire.Decode([]byte(text))
	if err != nil {
		return err.Error()
	}
	_, _, err = questionnaire.Generate(answers)
	var invalid *policy.InvalidError
	switch {
	case err == nil:
		return "no problem"
	case errors.As(err, &invalid):
		return invalid.Error()
	default:
		return "unexpected error: " + err.Error()
	}
}
