package system

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// Guards against two concurrent changes of the same base version that are both accepted or both rejected, and against hosts that
// disagree on which of the two is in force.
func TestConcurrentPolicyChangesAcceptExactlyOne(t *testing.T) {
	d := startDeployment(t, newPolicyDocument())
	versions := d.monitorVersions()
	for base := 1; base <= 4; base++ {
		winner := d.applyConcurrently(base)
		d.waitVersion(policy.Version(base + 1))
		for _, id := range allHosts {
			output, status := d.runCommandAt([]string{id}, "policy", "show")
			if status != 0 || !strings.Contains(output, winner) {
				t.Errorf("%s does not show the accepted policy %s", id, winner)
			}
		}
	}
	versions.stopAndCheck(d)
}

// applyConcurrently applies two policies with the same base version through different hosts at once. It checks that exactly one is
// accepted and returns the deployment name in that policy.
func (d *deployment) applyConcurrently(base int) string {
	d.t.Helper()
	hosts := []string{hostA, hostD}
	var outputs [2]string
	var statuses [2]int
	var commands sync.WaitGroup
	for i, id := range hosts {
		file := d.writeRenamedPolicy(base, id)
		commands.Go(func() {
			outputs[i], statuses[i] = d.runCommandAt([]string{id}, "policy", "apply", "-base", fmt.Sprint(base), "-reason", "race", "-file", file)
		})
	}
	commands.Wait()
	winner, loser := 0, 1
	if statuses[0] != 0 {
		winner, loser = 1, 0
	}
	if statuses[winner] != 0 || statuses[loser] != exitConflict {
		d.t.Fatalf("exit statuses %v, want 0 and %d\n%s\n%s", statuses, exitConflict, outputs[0], outputs[1])
	}
	for _, version := range []int{base, base + 1} {
		if !strings.Contains(outputs[loser], fmt.Sprintf("version %d", version)) {
			d.t.Errorf("the conflict message does not name version %d:\n%s", version, outputs[loser])
		}
	}
	return deploymentName(base, hosts[winner])
}

func deploymentName(base int, host string) string { return fmt.Sprintf("race-%d-%s", base, host) }

// writeRenamedPolicy writes the policy, with a deployment name for the base version and host, to a file and returns its path.
func (d *deployment) writeRenamedPolicy(base int, host string) string {
	doc := *d.Document
	doc.Deployment = deploymentName(base, host)
	text, err := policy.Encode(&doc)
	d.requireNoError(err)
	path := filepath.Join(d.Options.Dir, doc.Deployment+".toml")
	d.requireNoError(os.WriteFile(path, text, 0o644))
	return path
}
