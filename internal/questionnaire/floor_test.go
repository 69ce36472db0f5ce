package questionnaire_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/questionnaire"
	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// Guards against an interactive floor in the example deployments that is less than one slot at some host: while many urgent
// requests wait, lookups would then wait until the deficit of their rank grants a slot.
func TestDeploymentsGiveEachHostAnInteractiveFloorSlot(t *testing.T) {
	for _, name := range []string{"molinos-del-llano", "matkalaukkukahva"} {
		doc := generateDocument(t, filepath.Join(deployments, name, "answers.toml"))
		for i := range doc.Services {
			service := &doc.Services[i]
			for domain, slots := range minSlotsPerHost(doc, service) {
				whole := service.FloorSlots(rank.Interactive, slots)
				t.Logf("%s, %s: %d slots a host in %s, floor in whole slots: interactive %d, deferrable %d",
					name, service.Name, slots, domain, whole, service.FloorSlots(rank.Deferrable, slots))
				if whole < 1 {
					t.Errorf("%s, %s: the interactive floor gives %d of %d slots at a host in %s, want 1",
						name, service.Name, whole, slots, domain)
				}
			}
		}
	}
}

func generateDocument(t *testing.T, path string) *policy.Document {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	answers, err := questionnaire.Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	doc, _, err := questionnaire.Generate(answers)
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// minSlotsPerHost returns, for each failure domain, the smallest number of slots of the service that an entry host has.
func minSlotsPerHost(doc *policy.Document, service *policy.Service) map[string]int {
	hosts, slots := map[string]int{}, map[string]int{}
	for _, host := range doc.Hosts {
		hosts[host.FailureDomain]++
	}
	for _, server := range doc.BackendServers {
		if server.Service == service.Name {
			slots[server.FailureDomain] += server.Slots
		}
	}
	for domain := range slots {
		slots[domain] /= hosts[domain]
	}
	return slots
}
