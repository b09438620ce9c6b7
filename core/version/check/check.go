// Package check examines a configuration before it is put in force: which values are invalid,
// which entries have no effect, which limits contradict each other, and what callers will notice.
//
// What makes routers refuse a configuration is decided by the packages routetable and resource,
// whose faults are reported here too.
package check

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Severity is the importance of a finding.
type Severity string

// Severities, from the most important.
const (
	// Error findings are invalid or have an effect that is never meant.
	Error Severity = "error"
	// Warning findings may be meant.
	Warning Severity = "warning"
	// Change findings are differences from another version.
	Change Severity = "change"
)

var severityOrder = []Severity{Error, Warning, Change}

// Rule identifies what a finding is about. The values are stable.
type Rule string

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	Rule     Rule     `json:"rule"`
	// Place is the entry, such as a route with its name, and Field its field; empty if the
	// finding is about the whole entry.
	Place string `json:"place"`
	Field string `json:"field,omitempty"`
	// Value is empty for secrets and for entries as a whole.
	Value   string `json:"value,omitempty"`
	Allowed string `json:"allowed,omitempty"`
	// Effect is what callers notice.
	Effect string `json:"effect,omitempty"`
}

// Environment is what a check knows beside the configuration.
type Environment struct {
	// Regions are the regions of zones; nil if unknown.
	Regions map[string]string
	// Evacuated are the zones that are or will be evacuated.
	Evacuated []string
	// MaxRetries is the largest number of retries that one request can get; negative if unknown
	// or unlimited.
	MaxRetries int
	// ColdRate is the rate at which the routers send requests to a cold endpoint of a service
	// with a stated rate, both in requests per second; nil if unknown.
	ColdRate func(perSecond float64) float64
}

// DefaultEnvironment returns the environment in which nothing beside the configuration is known.
func DefaultEnvironment() Environment { return Environment{MaxRetries: -1} }

// Sort sorts findings by severity, and otherwise keeps their order.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Compare(slices.Index(severityOrder, a.Severity), slices.Index(severityOrder, b.Severity))
	})
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, severity Severity) (count int) {
	for _, finding := range findings {
		if finding.Severity == severity {
			count++
		}
	}
	return count
}

// RuleUnknownField is for fields that routers don't read.
const RuleUnknownField Rule = "unknown-field"

// RuleUnreadable is for documents that can't be decoded.
const RuleUnreadable Rule = "unreadable"

// UnknownFields returns a finding for each field of a decoded document that is not in known, with
// the nearest known name. known has the fields by the path of the object that holds them, such as
// "Services.Engine"; objects at other paths may have any fields. Elements of a list have the path
// of the list. isExact is false if the case of names doesn't matter.
func UnknownFields(document any, known map[string][]string, severity Severity, isExact bool) []Finding {
	w := &fieldWalk{known: known, severity: severity, isExact: isExact}
	w.walk("", "", document)
	return w.findings
}

type fieldWalk struct {
	known    map[string][]string
	severity Severity
	isExact  bool
	findings []Finding
}

// walk visits a value. path is its path in known, and place is where it stands.
func (w *fieldWalk) walk(path, place string, value any) {
	switch value := value.(type) {
	case []any:
		for i, element := range value {
			w.walk(path, fmt.Sprintf("%s %d", place, i+1), element)
		}
	case map[string]any:
		names, isKnown := w.known[path]
		if !isKnown {
			return
		}
		for _, name := range slices.Sorted(maps.Keys(value)) {
			known, found := w.find(names, name)
			if !found {
				w.report(place, name, names)
				continue
			}
			w.walk(join(path, known), join(place, name), value[name])
		}
	}
}

func (w *fieldWalk) find(names []string, name string) (known string, found bool) {
	i := slices.IndexFunc(names, func(known string) bool {
		return known == name || !w.isExact && strings.EqualFold(known, name)
	})
	if i < 0 {
		return "", false
	}
	return names[i], true
}

func (w *fieldWalk) report(place, name string, names []string) {
	w.findings = append(w.findings, Finding{
		Severity: w.severity, Rule: RuleUnknownField, Place: cmp.Or(place, "top level"), Field: name,
		Allowed: "the nearest known name is " + nearest(name, names), Effect: "the field has no effect",
	})
}

// FieldNames returns the names of a struct's fields in JSON.
func FieldNames(value any) []string {
	var names []string
	for _, field := range reflect.VisibleFields(reflect.TypeOf(value)) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		names = append(names, name)
	}
	return names
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// nearest returns the name with the smallest edit distance, the first of equal ones.
func nearest(name string, names []string) string {
	return slices.MinFunc(names, func(a, b string) int {
		return distance(strings.ToLower(name), strings.ToLower(a)) - distance(strings.ToLower(name), strings.ToLower(b))
	})
}

// maxComparedBytes bounds the work for an absurd name.
const maxComparedBytes = 100

// distance returns the edit distance (Levenshtein) of the starts of two names.
func distance(a, b string) int {
	a, b = a[:min(len(a), maxComparedBytes)], b[:min(len(b), maxComparedBytes)]
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := diagonal
			if a[i] != b[j] {
				change++
			}
			diagonal = row[j+1]
			row[j+1] = min(change, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
