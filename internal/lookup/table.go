// Package lookup selects the entry hosts that callers use. A Table maps the address block of a client to a site order, and a
// Resolver turns the site order into a list of entry hosts.
package lookup

import (
	"net/netip"
	"slices"
	"time"

	"github.com/gaissmai/bart"
	"github.com/zeebo/errs"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// Error is the class of errors of this package.
var Error = errs.Class("lookup")

// MaxOrders is the largest number of distinct site orders of a table. Each block stores the index of its order in 2 bytes.
const MaxOrders = 65_535

// defaultOrder is the index of the site order for clients without a block.
const defaultOrder = 0

// Table is a policy compiled for look-ups. It is immutable.
type Table struct {
	snapshot *policy.Snapshot
	blocks   *blockIndex
	// byDistance lists for each site all sites by distance, starting with the site itself.
	byDistance [][]uint16
	// defaultSites is the site order for clients without a block.
	defaultSites []uint16
	// hostsAt lists the hosts of each site, without the retired ones.
	hostsAt [][]*policy.Host
}

// blockIndex maps prefixes to site orders. It depends only on the blocks and the site names, so that tables of successive
// versions can share it.
type blockIndex struct {
	siteIndex map[string]uint16
	prefixes  *bart.Table[uint16]
	// preferred holds the preferred sites of each order. The entry at defaultOrder is empty. The remaining sites of an
	// order are sorted by distance from the first preferred site, so they are not stored for each order.
	preferred [][]uint16
}

// Compile builds the table of a policy for an entry host in failureDomain. For clients without a block, the sites of
// failureDomain come first. Compile returns an error if the blocks have more than MaxOrders distinct site orders.
func Compile(snapshot *policy.Snapshot, failureDomain string) (*Table, error) {
	return compile(nil, snapshot, failureDomain)
}

// Recompile builds the table of the next version. It reuses the block index of the previous table if neither blocks nor
// sites changed, which holds for most changes. The previous table may be nil.
func Recompile(previous *Table, snapshot *policy.Snapshot, failureDomain string) (*Table, error) {
	return compile(previous, snapshot, failureDomain)
}

func compile(previous *Table, snapshot *policy.Snapshot, failureDomain string) (*Table, error) {
	t := &Table{snapshot: snapshot}
	if previous != nil && sameBlocks(previous.snapshot.Document, snapshot.Document) {
		t.blocks = previous.blocks
	} else {
		blocks, err := indexBlocks(snapshot.Document)
		if err != nil {
			return nil, err
		}
		t.blocks = blocks
	}
	t.sortSitesByDistance()
	t.defaultSites = t.sitesOfDefaultOrder(failureDomain)
	t.groupHostsBySite()
	return t, nil
}

func sameBlocks(a, b *policy.Document) bool {
	sameSite := func(x, y policy.Site) bool { return x.Name == y.Name }
	sameBlock := func(x, y policy.Block) bool { return x.Prefix == y.Prefix && slices.Equal(x.Sites, y.Sites) }
	return slices.EqualFunc(a.Sites, b.Sites, sameSite) && slices.EqualFunc(a.Blocks, b.Blocks, sameBlock)
}

func indexBlocks(doc *policy.Document) (*blockIndex, error) {
	x := &blockIndex{
		siteIndex: make(map[string]uint16, len(doc.Sites)),
		prefixes:  new(bart.Table[uint16]),
		preferred: [][]uint16{nil},
	}
	for i, s := range doc.Sites {
		x.siteIndex[s.Name] = uint16(i)
	}
	orders := map[string]uint16{}
	key := make([]byte, 0, 16)
	for i := range doc.Blocks {
		b := &doc.Blocks[i]
		key = x.appendKey(key[:0], b.Sites)
		order, ok := orders[string(key)]
		if !ok {
			if len(x.preferred) > MaxOrders {
				return nil, Error.New("blocks[%s].sites: this is the %dth distinct order of sites, want at most %d",
					b.Prefix, len(x.preferred), MaxOrders)
			}
			order = uint16(len(x.preferred))
			orders[string(key)] = order
			x.preferred = append(x.preferred, x.siteIndexes(b.Sites))
		}
		x.prefixes.Insert(b.Prefix, order)
	}
	return x, nil
}

func (x *blockIndex) appendKey(key []byte, names []string) []byte {
	for _, name := range names {
		site := x.siteIndex[name]
		key = append(key, byte(site>>8), byte(site))
	}
	return key
}

func (x *blockIndex) siteIndexes(names []string) []uint16 {
	list := make([]uint16, len(names))
	for i, name := range names {
		list[i] = x.siteIndex[name]
	}
	return list
}

// sortSitesByDistance sorts all sites by distance from each site. Sites at equal distance keep the document's order rotated
// to start at the site itself, because otherwise all sites of a region would fall back to the same site.
func (t *Table) sortSitesByDistance() {
	sites := t.snapshot.Document.Sites
	t.byDistance = make([][]uint16, len(sites))
	for from := range sites {
		t.byDistance[from] = t.sitesByDistanceFrom(sites[from].FailureDomain, from)
	}
}

func (t *Table) sitesByDistanceFrom(domain string, start int) []uint16 {
	sites := t.snapshot.Document.Sites
	delay := make([]time.Duration, len(sites))
	list := make([]uint16, 0, len(sites))
	for i := range sites {
		site := (start + i) % len(sites)
		delay[site] = t.snapshot.OneWayDelay(domain, sites[site].FailureDomain)
		list = append(list, uint16(site))
	}
	slices.SortStableFunc(list, func(a, b uint16) int { return int(delay[a] - delay[b]) })
	return list
}

// sitesOfDefaultOrder returns the site order for clients without a block on an entry host in the failure domain.
func (t *Table) sitesOfDefaultOrder(domain string) []uint16 {
	for i, s := range t.snapshot.Document.Sites {
		if s.FailureDomain == domain {
			return t.byDistance[i]
		}
	}
	return t.sitesByDistanceFrom(domain, 0)
}

func (t *Table) groupHostsBySite() {
	doc := t.snapshot.Document
	t.hostsAt = make([][]*policy.Host, len(doc.Sites))
	for i := range doc.Hosts {
		h := &doc.Hosts[i]
		if h.Retired {
			continue
		}
		site := t.blocks.siteIndex[h.Site]
		t.hostsAt[site] = append(t.hostsAt[site], h)
	}
}

// order returns the index of the client's site order.
func (t *Table) order(client netip.Addr) uint16 {
	order, ok := t.blocks.prefixes.Lookup(client)
	if !ok {
		return defaultOrder
	}
	return order
}

// sites returns all sites of an order, nearest first. In the order of a block, the preferred sites come first and the others
// follow by distance from the first preferred site.
func (t *Table) sites(order uint16) []uint16 {
	if order == defaultOrder {
		return t.defaultSites
	}
	preferred := t.blocks.preferred[order]
	list := make([]uint16, 0, len(t.byDistance))
	for _, site := range preferred {
		if !slices.Contains(list, site) {
			list = append(list, site)
		}
	}
	for _, site := range t.byDistance[preferred[0]] {
		if !slices.Contains(preferred, site) {
			list = append(list, site)
		}
	}
	return list
}

// Orders returns the number of distinct site orders, including the one for clients without a block.
func (t *Table) Orders() int { return len(t.blocks.preferred) }

// Snapshot returns the policy that the table was compiled from.
func (t *Table) Snapshot() *policy.Snapshot { return t.snapshot }

// SitesOf returns the block with the longest prefix that contains the client, and the site names in the client's order. The
// prefix is invalid for a client without a block.
func (t *Table) SitesOf(client netip.Addr) (netip.Prefix, []string) {
	client = client.Unmap()
	var block netip.Prefix
	if client.IsValid() {
		block, _, _ = t.blocks.prefixes.LookupPrefixLPM(netip.PrefixFrom(client, client.BitLen()))
	}
	sites := t.sites(t.order(client))
	names := make([]string, len(sites))
	for i, site := range sites {
		names[i] = t.snapshot.Document.Sites[site].Name
	}
	return block, names
}
