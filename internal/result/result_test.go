package result_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/result"
)

const tablePath = "../../docs/result-codes.md"

// The documentation table must list every code with the number, name, status and meaning that the program sends.
func TestDocumentationTableListsEveryCode(t *testing.T) {
	text, err := os.ReadFile(tablePath)
	if err != nil {
		t.Fatal(err)
	}
	codes := result.Codes()
	slices.Sort(codes)
	var rows []string
	for _, c := range codes {
		d := c.Describe()
		rows = append(rows, fmt.Sprintf("| %d | `%s` | %d | %s | %s |", uint16(c), d.Name, d.Status, runColumn(c), d.Meaning))
	}
	want := strings.Join(rows, "\n")
	if !strings.Contains(string(text), want) {
		t.Errorf("%s differs from the code; want these rows:\n%s", tablePath, want)
	}
}

// runColumn returns the entry of the table column that states whether the request was run.
func runColumn(c result.Code) string {
	switch {
	case c == result.OK:
		return "yes"
	case c.NotRun():
		return "no"
	case c >= 3000 && c < 4000:
		return "unknown"
	default:
		return "-"
	}
}

// A caller repeats a non-idempotent request, such as a payment, only after a code that guarantees that it was not run. No 3xxx
// code may give that guarantee.
func TestNotRunMatchesTheCodeClass(t *testing.T) {
	for _, c := range result.Codes() {
		if c >= 3000 && c < 4000 && c.NotRun() {
			t.Errorf("%s has an unknown outcome but reports that the request was not run", c)
		}
		if c >= 2000 && c < 3000 && !c.NotRun() {
			t.Errorf("%s is a rejection but does not report that the request was not run", c)
		}
	}
}
