package admin

import "github.com/foxtailtack/foxtailtack/internal/policy"

// Status reports the view that this process has of hosts, slots and backend servers. The lists are sorted by id.
type Status interface {
	Hosts() []HostStatus
	Slots() []SlotStatus
	BackendServers() []BackendServerStatus
}

// HostStatus is the state of an entry host in the view of this process.
type HostStatus struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// State is joining, serving, leaving or unknown.
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Reachable   bool   `json:"reachable"`
	Retired     bool   `json:"retired"`
	// ConfigVersion is the version of the policy that is in force on the host.
	ConfigVersion policy.Version `json:"config_version"`
	// LastMessageAgeMs is the time in milliseconds since a message of the host was last received; -1 if there was none.
	LastMessageAgeMs int64             `json:"last_heard_ms"`
	Services         []ServiceHeadroom `json:"services"`
}

// ServiceHeadroom is the smoothed free capacity of a host for a service, in slots.
type ServiceHeadroom struct {
	Service         string  `json:"service"`
	Usable          int     `json:"usable"`
	FreeUrgent      float64 `json:"free_urgent"`
	FreeInteractive float64 `json:"free_interactive"`
	FreeDeferrable  float64 `json:"free_deferrable"`
}

// SlotStatus is the state of the slots of one backend server on this host.
type SlotStatus struct {
	BackendServer string `json:"backend_server"`
	Service       string `json:"service"`
	// Total is the number of slots of the backend server.
	Total int `json:"total"`
	// Usable is the number of those slots that this host may use.
	Usable int `json:"usable"`
	// InUse is the number of those slots that are in use.
	InUse int `json:"in_use"`
}

// BackendServerStatus is the state of a backend server of the host's failure domain in the view of this process.
type BackendServerStatus struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	Slots         int    `json:"slots"`
	Connections   int    `json:"connections"`
	// State is ready, ramping, unhealthy, ejected, leaving or drained.
	State string `json:"state"`
	// Notice is the source of the drain notice for the server: operator, host_list, health, header or peer. It is empty if
	// there is no notice.
	Notice string `json:"notice,omitempty"`
	// Load is the load that the backend server last reported. LoadAgeMs is the age of that report; -1 if there is none.
	Load      float64 `json:"load"`
	LoadAgeMs int64   `json:"load_age_ms"`
}
