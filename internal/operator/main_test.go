package operator

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against an error output that only lists the commands and doesn't name the mistyped one.
func TestUnknownCommandErrorNamesCommand(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"polcy"}, `"polcy" is not a command of foxtailtack`},
		{[]string{"policy", "aply"}, `"aply" is not a command of foxtailtack policy`},
	} {
		var stderr bytes.Buffer
		if status := Main(c.args, strings.NewReader(""), &bytes.Buffer{}, &stderr); status != ExitUsage {
			t.Errorf("%v: exit status %d, want %d", c.args, status, ExitUsage)
		}
		if !strings.Contains(stderr.String(), c.want) {
			t.Errorf("%v: got %q, want %q", c.args, stderr.String(), c.want)
		}
	}
}
