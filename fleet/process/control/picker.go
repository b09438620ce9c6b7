package control

import (
	"gentianhead/core/process/withdrawal"
	"gentianhead/core/request/placement"
	"gentianhead/core/version/resource"
)

// newPicker returns a picker of the plain service endpoints that are not
// withdrawn.
func newPicker(snapshot *resource.Snapshot, withdrawn *withdrawal.Set) *placement.Picker {
	byService := make(map[string][]placement.Candidate)
	for _, object := range snapshot.List(resource.KindEndpoint) {
		if !isInService(object.Endpoint, withdrawn) {
			continue
		}
		candidate := placement.Candidate{Name: object.Name, URL: object.Endpoint.URL}
		for _, service := range object.Endpoint.Services {
			byService[service] = append(byService[service], candidate)
		}
	}
	return placement.NewPicker(byService)
}
