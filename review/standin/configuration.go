//go:build review

package main

import "fmt"

// trinacriaBounds are the bounds of a small deployment of the operators.
var trinacriaBounds = map[string]string{
	"GraceS": "6", "ttl_max_s": "5", "StableWindowMs": "4000", "ConfigMs": "2500", "DrainMs": "2500", "EvacMs": "5000",
	"RetryRatio": "0.2", "RetrySlack": "64",
}

// rule is a route.
type rule struct {
	name, kind string
	goalMs     int
	priority   int
	prefix     string
	service    string
	timeoutMs  int
	attempts   int
}

// configurationOf returns the operator's configuration.
func configurationOf(version int, rules []rule, services ...string) any {
	var list, clusters []any
	for _, r := range rules {
		list = append(list, map[string]any{
			"Name": r.name, "Kind": r.kind, "GoalMs": r.goalMs, "Priority": r.priority, "Sticky": true,
			"Match":  map[string]any{"Prefix": r.prefix},
			"Action": map[string]any{"Service": r.service, "TimeoutMs": r.timeoutMs, "Attempts": r.attempts},
		})
	}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"Name": s, "HealthPath": "/healthz", "MaxConns": 390, "ColdS": 3, "ColdPerS": 15})
	}
	return map[string]any{
		"Version":   fmt.Sprintf("%08x", version),
		"Limits":    map[string]any{"HeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 15000},
		"Listeners": []any{map[string]any{"Host": hostName, "Rules": list}},
		"Clusters":  clusters,
	}
}
