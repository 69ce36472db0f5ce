package questionnaire_test

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/questionnaire"
	"github.com/foxtailtack/foxtailtack/internal/settings"
)

// drawMostly draws the usual value, and in about 1 of 128 cases one of the exceptions, so that a large part of the drawn
// answers is accepted.
func drawMostly[T any](t *rapid.T, label string, usual T, exceptions ...T) T {
	if rapid.IntRange(0, 127).Draw(t, label+" exception") != 77 {
		return usual
	}
	return rapid.SampledFrom(exceptions).Draw(t, label)
}

func drawShare(t *rapid.T, label string) float64 {
	return rapid.SampledFrom([]float64{0, 0.05, 0.17, 0.34, 0.5, 0.6, 0.85, 1}).Draw(t, label)
}

func drawRank(t *rapid.T, label string, limit float64) questionnaire.Rank {
	return questionnaire.Rank{
		Limit:         drawMostly(t, label+" limit", limit, 0, 0.1, 1, 1.5),
		Floor:         drawMostly(t, label+" floor", 0.1, 0, 0.3, 1, 1.1, -0.1),
		PeakPerSecond: drawMostly(t, label+" peak", 10.0, 0, 1e6, -1),
		MeanMs:        drawMostly(t, label+" mean", 10.0, 0, 6000, -1),
	}
}

func drawService(t *rapid.T, i int) questionnaire.Service {
	s := questionnaire.Service{
		Name:         drawMostly(t, "service", fmt.Sprintf("service-%d", i), "service-0", "", "A B"),
		Team:         drawMostly(t, "team", "spares", "", "*"),
		Slots:        drawMostly(t, "slots", 3, 0, -1, 20_000),
		Connections:  drawMostly(t, "connections", 330, 0, 2, 200_000),
		MaxRequestMs: drawMostly(t, "max request", 5000, 0, 10_000, 10_001, -1),
		LookupTTLMs:  drawMostly(t, "ttl", 2000, 0, -1, 300_001),
		HedgeAfterMs: drawMostly(t, "hedge", 0, 50, 60_001, -1),
		HealthPath:   drawMostly(t, "health", "/healthz", "", "x"),
		Ranks: questionnaire.Ranks{
			Urgent: drawRank(t, "urgent", 1), Interactive: drawRank(t, "interactive", 0.7), Deferrable: drawRank(t, "deferrable", 0.5),
		},
	}
	for range drawMostly(t, "routes", 3, 0, 1) {
		s.Routes = append(s.Routes, questionnaire.Route{
			Method: drawMostly(t, "method", "GET", "", "POST", "FETCH"),
			Path:   drawMostly(t, "path", fmt.Sprintf("/p%d", len(s.Routes)), "/", "", "x"),
			Rank:   drawMostly(t, "rank", "interactive", "urgent", "", "fast"),
		})
	}
	return s
}

func drawAddresses(t *rapid.T, group, count int, backend bool) questionnaire.Addresses {
	if rapid.Bool().Draw(t, "range") {
		return questionnaire.Addresses{
			IPRange:   drawMostly(t, "ip range", "127.0.0.1", "127.0.0.1-127.0.0.3", "127.0.0.3-127.0.0.1", "::1", "x"),
			PortStart: drawMostly(t, "port", 20_000+100*group, 20_000, 0, 65_535),
		}
	}
	var a questionnaire.Addresses
	for i := range count {
		ip := fmt.Sprintf("192.0.2.%d", 10*group+i)
		if backend {
			ip += ":8080"
		}
		a.Addresses = append(a.Addresses, drawMostly(t, "address", ip, "192.0.2.1", "192.0.2.1:0", ""))
	}
	return a
}

func drawAnswers(t *rapid.T) *questionnaire.Answers {
	a := &questionnaire.Answers{
		Deployment:     questionnaire.Deployment{Name: drawMostly(t, "name", "test", "", "T")},
		Platform:       questionnaire.Platform{StoreURL: drawMostly(t, "store", "http://192.0.2.5:8500", "", "http://store:1", "http://192.0.2.5")},
		Ports:          questionnaire.Ports{Caller: drawMostly(t, "port", 7080, 0, 7081, 70_000)},
		Regions:        []questionnaire.Region{{Name: "north", MaxShiftShare: drawShare(t, "shift")}, {Name: drawMostly(t, "region", "south", "north", "")}},
		FailureDomains: []questionnaire.FailureDomain{{Name: "north-1", Region: "north"}, {Name: drawMostly(t, "domain", "south-1", "north-1"), Region: drawMostly(t, "region of", "south", "north", "x")}},
		Links:          []questionnaire.Link{{A: "north", B: drawMostly(t, "link", "south", "north", "x"), OneWayMs: drawMostly(t, "delay", 30.0, 0, -1, 20_000)}},
		Operators:      []questionnaire.Operator{{Name: "o", Team: drawMostly(t, "operator team", "*", "x", ""), TokenSHA256: policy.HashToken("o")}},
		Callers:        []questionnaire.Caller{{ID: drawMostly(t, "caller", "c", ""), TokenSHA256: drawMostly(t, "token", policy.HashToken("c"), "", "zz"), HighestRank: drawMostly(t, "highest", "urgent", "x")}},
		ClientBlocks:   []questionnaire.ClientBlock{{Prefix: drawMostly(t, "prefix", "203.0.113.0/24", "203.0.113.9/24", "x"), FailureDomains: []string{drawMostly(t, "block domain", "south-1", "x")}}},
	}
	group := 0
	for i := range rapid.IntRange(1, 2).Draw(t, "services") {
		s := drawService(t, i)
		for _, d := range []string{"north-1", "south-1"} {
			group++
			n := drawMostly(t, "backends", 2, 0, 1, -1)
			s.BackendServers += n
			a.BackendServers = append(a.BackendServers, questionnaire.BackendServers{
				Service: s.Name, FailureDomain: drawMostly(t, "backend domain", d, "north-1", "x"), Count: n, Addresses: drawAddresses(t, group, 2, true),
			})
		}
		a.Services = append(a.Services, s)
	}
	for _, d := range []string{"north-1", "south-1"} {
		group++
		a.EntryHosts = append(a.EntryHosts, questionnaire.EntryHosts{FailureDomain: d, Count: drawMostly(t, "hosts", 2, 1, 0), Addresses: drawAddresses(t, group, 2, false)})
	}
	return a
}

// Guards against answers that pass the checks although the generated policy is rejected or the generated settings cannot be
// read. A team would notice this only when the apply command rejects the policy or a process does not start.
func TestAcceptedAnswersGenerateValidFiles(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		doc, all, err := questionnaire.Generate(drawAnswers(t))
		var invalid *policy.InvalidError
		if errors.As(err, &invalid) && len(invalid.Problems) > 0 && doc == nil {
			for _, p := range invalid.Problems {
				if p.Field == "" || p.Want == "" {
					t.Fatalf("problem without question or allowed values: %+v", p)
				}
			}
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		accepted++
		files, err := questionnaire.Files(doc, all)
		if err != nil {
			t.Fatal(err)
		}
		checkFiles(t, files, len(doc.Hosts))
	})
	if accepted == 0 {
		t.Error("no drawn answers were accepted, so the test shows nothing")
	}
	t.Logf("%d drawn answers were accepted", accepted)
}

func checkFiles(t *rapid.T, files map[string][]byte, hosts int) {
	decoded, err := policy.Decode(files[questionnaire.PolicyFile])
	if err != nil {
		t.Fatal(err)
	}
	if _, err := policy.Compile(decoded, 1, "c"); err != nil {
		t.Fatal(err)
	}
	if len(files) != hosts+1 {
		t.Fatalf("%d files for %d hosts", len(files), hosts)
	}
	for name, text := range files {
		if name != questionnaire.PolicyFile {
			if _, err := settings.Parse(text); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
	}
}
