package questionnaire

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

const maxOneWayMs = 10_000

// regionPair holds the names of two regions in ascending order, so that it does not depend on the direction of a link.
type regionPair struct{ a, b string }

func newRegionPair(a, b string) regionPair {
	return regionPair{min(a, b), max(a, b)}
}

// checkLinks checks the links and requires the delay between each pair of regions. An unknown distance counts as the longest
// one and would make steering choose the wrong region.
func (c *checker) checkLinks() {
	given := map[regionPair]bool{}
	for i, l := range c.answers.Links {
		question := fmt.Sprintf("links[%d]", i)
		c.checkReference(c.regions, question+".a", l.A, "regions")
		c.checkReference(c.regions, question+".b", l.B, "regions")
		c.checkRange(question+".one_way_ms", l.OneWayMs, 0, maxOneWayMs)
		if !(l.Mbps >= 0) {
			c.report(question+".mbps", l.Mbps, "want 0 or more")
		}
		pair := newRegionPair(l.A, l.B)
		if given[pair] {
			c.report(question, l.A+" to "+l.B, "want each pair of regions once; it holds for both directions")
		}
		given[pair] = true
	}
	c.checkMissingLinks(given)
}

func (c *checker) checkMissingLinks(given map[regionPair]bool) {
	domains := map[string]int{}
	for _, d := range c.answers.FailureDomains {
		domains[d.Region]++
	}
	regions := sortedNames(c.regions)
	for i, a := range regions {
		if domains[a] > 1 && !given[newRegionPair(a, a)] {
			c.report("links", a+" to "+a, "want the delay between the failure domains of this region")
		}
		for _, b := range regions[i+1:] {
			if !given[newRegionPair(a, b)] {
				c.report("links", a+" to "+b, "want the delay between these regions")
			}
		}
	}
}

func sortedNames(names map[string]bool) []string {
	return slices.Sorted(maps.Keys(names))
}

func joinNames(names map[string]bool) string {
	if len(names) == 0 {
		return "none is given"
	}
	return strings.Join(sortedNames(names), ", ")
}
