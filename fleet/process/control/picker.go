package control

import (
	"gentianhead/core/request/placement"
	"gentianhead/core/version/resource"
)

// newPicker builds the picker for the endpoints of a configuration.
func newPicker(snapshot *resource.Snapshot) *placement.Picker {
	byModel := make(map[string][]placement.Candidate)
	byService := make(map[string][]placement.Candidate)
	for _, object := range snapshot.List(resource.KindEndpoint) {
		if object.Endpoint.Withdrawn {
			continue
		}
		candidate := placement.Candidate{Name: object.Name, URL: object.Endpoint.URL}
		for _, model := range object.Endpoint.Models {
			byModel[model] = append(byModel[model], candidate)
		}
		for _, service := range object.Endpoint.Services {
			byService[service] = append(byService[service], candidate)
		}
	}
	return placement.NewPicker(byModel, byService)
}
