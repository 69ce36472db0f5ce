package questionnaire

import (
	"fmt"
	"net/netip"
)

// maxGroupProcesses is the largest number of processes in one group.
const maxGroupProcesses = 10_000

func (c *checker) checkEntryHosts() {
	c.checkPorts()
	c.hostGroups = make([][]hostAddresses, len(c.answers.EntryHosts))
	present := map[string]bool{}
	for i, group := range c.answers.EntryHosts {
		question := fmt.Sprintf("entry_hosts[%d]", i)
		c.checkReference(c.domains, question+".failure_domain", group.FailureDomain, "failure domains")
		if present[group.FailureDomain] {
			c.report(question+".failure_domain", group.FailureDomain, "want one group of entry hosts for each failure domain")
		}
		present[group.FailureDomain] = true
		c.hostGroups[i] = c.parseHostGroup(question, group)
		for _, h := range c.hostGroups[i] {
			// The three addresses of a host have the same IP address, so only the first problem of a host is reported.
			_ = c.claimAddress(question, h.caller) && c.claimAddress(question, h.peer) && c.claimAddress(question, h.admin)
		}
	}
	for _, d := range sortedNames(c.domains) {
		if !present[d] {
			c.report("entry_hosts", d, "want at least one entry host in this failure domain")
		}
	}
}

func (c *checker) checkPorts() {
	p := c.answers.Ports.withDefaults()
	c.checkRange("ports.caller", float64(p.Caller), 1, maxPort)
	c.checkRange("ports.peer", float64(p.Peer), 1, maxPort)
	c.checkRange("ports.admin", float64(p.Admin), 1, maxPort)
	c.distinctPorts = p.Caller != p.Peer && p.Peer != p.Admin && p.Caller != p.Admin
	if !c.distinctPorts {
		c.report("ports", fmt.Sprintf("%d, %d and %d", p.Caller, p.Peer, p.Admin), "want three different ports")
	}
}

func (c *checker) parseHostGroup(question string, group EntryHosts) []hostAddresses {
	firstAddresses, ok := c.rangeAddresses(question, group.Count, group.Addresses, portsPerHost)
	if !ok {
		return nil
	}
	if firstAddresses != nil {
		list := make([]hostAddresses, len(firstAddresses))
		for i, a := range firstAddresses {
			list[i] = consecutivePorts(a)
		}
		return list
	}
	if !c.distinctPorts {
		return nil
	}
	var list []hostAddresses
	for _, text := range group.Addresses.Addresses {
		ip, err := netip.ParseAddr(text)
		if err != nil {
			c.report(question+".addresses", text, "want an IP address without a port; the ports are asked under [ports]")
			continue
		}
		list = append(list, c.answers.Ports.withDefaults().hostAddressesAt(ip))
	}
	return list
}

func (c *checker) checkBackendServers() {
	c.backendGroups = make([][]netip.AddrPort, len(c.answers.BackendServers))
	counts, invalidCount := map[string]int{}, map[string]bool{}
	seen := map[[2]string]bool{}
	for i, group := range c.answers.BackendServers {
		question := fmt.Sprintf("backend_servers[%d]", i)
		c.checkReference(c.services, question+".service", group.Service, "services")
		c.checkReference(c.domains, question+".failure_domain", group.FailureDomain, "failure domains")
		key := [2]string{group.Service, group.FailureDomain}
		if seen[key] {
			c.report(question, group.Service+" in "+group.FailureDomain, "want one group for each service and failure domain")
		}
		seen[key] = true
		counts[group.Service] += group.Count
		invalidCount[group.Service] = invalidCount[group.Service] || group.Count < 1
		c.backendGroups[i] = c.parseBackendGroup(question, group)
		for _, a := range c.backendGroups[i] {
			c.claimAddress(question, a)
		}
	}
	for _, s := range c.answers.Services {
		if !invalidCount[s.Name] && counts[s.Name] != s.BackendServers {
			c.report("services["+s.Name+"].backend_servers", s.BackendServers,
				"want the sum of the counts under [[backend_servers]] for this service (%d)", counts[s.Name])
		}
	}
}

func (c *checker) parseBackendGroup(question string, group BackendServers) []netip.AddrPort {
	list, ok := c.rangeAddresses(question, group.Count, group.Addresses, 1)
	if !ok || list != nil {
		return list
	}
	for _, text := range group.Addresses.Addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil || address.Port() == 0 {
			c.report(question+".addresses", text, "want an IP address and port")
			continue
		}
		list = append(list, address)
	}
	return list
}

// rangeAddresses checks the number of processes and that the addresses are given either as a list or as a range. For a range
// it returns the addresses; for a list it returns nil and true, and the caller parses the list. It returns nil and false
// after it has reported a problem.
func (c *checker) rangeAddresses(question string, count int, a Addresses, ports int) ([]netip.AddrPort, bool) {
	if !c.checkRange(question+".count", float64(count), 1, maxGroupProcesses) {
		return nil, false
	}
	switch {
	case a.IPRange == "" && len(a.Addresses) == 0:
		c.report(question, "no address", "want addresses, or ip_range with port_start")
		return nil, false
	case a.IPRange != "" && len(a.Addresses) > 0:
		c.report(question+".ip_range", a.IPRange, "want either addresses or ip_range")
		return nil, false
	case a.IPRange == "" && len(a.Addresses) != count:
		c.report(question+".addresses", fmt.Sprintf("%d addresses", len(a.Addresses)), "want as many addresses as count (%d)", count)
		return nil, false
	case a.IPRange == "":
		return nil, true
	}
	ips, err := parseRange(a.IPRange)
	if err != nil {
		c.report(question+".ip_range", a.IPRange, "%s", err)
		return nil, false
	}
	list, err := allocatePorts(ips, a.PortStart, count, ports)
	if err != nil {
		c.report(question+".port_start", a.PortStart, "%s", err)
		return nil, false
	}
	return list, true
}

func (c *checker) claimAddress(question string, address netip.AddrPort) bool {
	if other, ok := c.addressQuestions[address]; ok {
		c.report(question, address, "want an address of its own; %s has the same", other)
		return false
	}
	c.addressQuestions[address] = question
	return true
}
