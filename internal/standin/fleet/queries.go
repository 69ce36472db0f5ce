package fleet

import (
	"encoding/json"
	"net/http"

	"github.com/foxtailtack/foxtailtack/internal/admin"
)

// query asks the administration API of an entry host.
func (f *Fleet) query(id, name string, into any) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+f.snapshot.Host(id).AdminAddress.String()+"/admin/v1/queries/"+name, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+OperatorToken)
	response, err := f.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(into)
}

// HostSlots returns the usable slots of an entry host and those in use, for one service.
func (f *Fleet) HostSlots(id, service string) (usable, inUse int, err error) {
	var answer struct {
		Slots []admin.SlotStatus `json:"slots"`
	}
	if err := f.query(id, "slots", &answer); err != nil {
		return 0, 0, err
	}
	for _, s := range answer.Slots {
		if s.Service == service {
			usable += s.Usable
			inUse += s.InUse
		}
	}
	return usable, inUse, nil
}

// BackendServers returns the backend servers as an entry host knows them.
func (f *Fleet) BackendServers(id string) ([]admin.BackendServerStatus, error) {
	var answer struct {
		BackendServers []admin.BackendServerStatus `json:"backend_servers"`
	}
	err := f.query(id, "backend-servers", &answer)
	return answer.BackendServers, err
}
