package questionnaire_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/questionnaire"
	"github.com/foxtailtack/foxtailtack/internal/settings"
)

var update = flag.Bool("update", false, "write the generated files of deployments/ instead of comparing them")

var deployments = filepath.Join("..", "..", "deployments")

// Guards against generated files in deployments/ that differ from what the answers in the same directory generate, and
// against generated files that the policy and settings packages cannot read.
func TestDeploymentsMatchTheirAnswers(t *testing.T) {
	for _, name := range []string{"molinos-del-llano", "matkalaukkukahva"} {
		t.Run(name, func(t *testing.T) {
			dir := filepath.Join(deployments, name)
			files := generateFrom(t, filepath.Join(dir, "answers.toml"))
			checkReadable(t, files)
			if *update {
				writeFiles(t, dir, files)
			}
			compareFiles(t, dir, files)
		})
	}
}

func generateFrom(t *testing.T, path string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	answers, err := questionnaire.Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	doc, all, err := questionnaire.Generate(answers)
	if err != nil {
		t.Fatal(err)
	}
	files, err := questionnaire.Files(doc, all)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func checkReadable(t *testing.T, files map[string][]byte) {
	t.Helper()
	doc, err := policy.Decode(files[questionnaire.PolicyFile])
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := policy.Compile(doc, 1, "c")
	if err != nil {
		t.Fatal(err)
	}
	if len(doc.Hosts) != 9 || len(files) != 10 {
		t.Fatalf("%d entry hosts and %d files, want 9 and 10", len(doc.Hosts), len(files))
	}
	for name, text := range files {
		if name == questionnaire.PolicyFile {
			continue
		}
		s, err := settings.Parse(text)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		h := snapshot.Host(s.HostID)
		if h == nil || h.PeerAddress != s.PeerAddress || h.FailureDomain != s.FailureDomain || name != "settings/"+h.ID+".toml" {
			t.Fatalf("%s does not match the policy's host %+v", name, h)
		}
		if strings.Contains(string(text), "round_robin") {
			t.Fatalf("%s sets a comparison switch", name)
		}
	}
}

func writeFiles(t *testing.T, dir string, files map[string][]byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Join(dir, "settings"), 0o755); err != nil {
		t.Fatal(err)
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, filepath.FromSlash(name)), text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

func compareFiles(t *testing.T, dir string, files map[string][]byte) {
	t.Helper()
	for name, text := range files {
		stored, err := os.ReadFile(filepath.Join(dir, filepath.FromSlash(name)))
		if err != nil {
			t.Error(err)
			continue
		}
		if !bytes.Equal(stored, text) {
			t.Errorf("%s differs from what the answers give; run the test with -update and review the change", name)
		}
	}
	stored, _ := filepath.Glob(filepath.Join(dir, "settings", "*.toml"))
	if len(stored) != len(files)-1 {
		t.Errorf("%d settings files are stored, want %d", len(stored), len(files)-1)
	}
}

// Guards against a form that cannot be decoded or whose example answers are invalid. A new team starts with the form, so it
// must generate a policy once the token hashes are filled in, and must be rejected without them.
func TestFormGeneratesPolicyOnceTokensAreFilledIn(t *testing.T) {
	answers, err := questionnaire.Decode(questionnaire.Form())
	if err != nil {
		t.Fatal(err)
	}
	_, _, err = questionnaire.Generate(answers)
	if err == nil || strings.Count(err.Error(), "\n") != 2 || strings.Count(err.Error(), "token_sha256") != 3 {
		t.Fatalf("got %v, want one problem for each of 3 token hashes", err)
	}
	answers.Callers[0].TokenSHA256 = policy.HashToken("a")
	answers.Operators[0].TokenSHA256 = policy.HashToken("b")
	answers.Operators[1].TokenSHA256 = policy.HashToken("c")
	if _, _, err = questionnaire.Generate(answers); err != nil {
		t.Fatal(err)
	}
}
