package check

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"gentianhead/core/version/resource"
	"gentianhead/core/version/routetable"
)

// Rules about differences between versions.
const (
	RuleVersion      Rule = "version-not-higher"
	RuleAccess       Rule = "changed-access"
	RuleRouting      Rule = "changed-routing"
	RuleLimit        Rule = "changed-limit"
	RuleRepetition   Rule = "changed-repetition"
	RuleOrder        Rule = "changed-priority"
	RuleRegions      Rule = "changed-homes"
	RuleServiceSetup Rule = "changed-service"
)

// TableChanges returns what callers notice when next replaces old. It returns the error of
// routetable.New if routers would refuse either.
func TableChanges(old, next routetable.Spec) ([]Finding, error) {
	oldTable, err := routetable.New(old)
	if err != nil {
		return nil, fmt.Errorf("version in force: %w", err)
	}
	nextTable, err := routetable.New(next)
	if err != nil {
		return nil, fmt.Errorf("version to check: %w", err)
	}
	d := &differences{}
	d.compareRoutes(old.Routes, next.Routes)
	d.compareServices(old.Services, next.Services)
	d.compareAccounts(oldTable, nextTable, old.Accounts, next.Accounts)
	d.compareLimits(old.Limits, next.Limits)
	if len(d.findings) > 0 && next.Version <= old.Version {
		d.findings = append(d.findings, Finding{
			Severity: Error, Rule: RuleVersion, Place: "configuration", Field: "Version", Value: strconv.FormatInt(next.Version, 10),
			Allowed: fmt.Sprintf("more than %d, the version in force", old.Version), Effect: "routers that have the version in force ignore this one",
		})
	}
	return d.findings, nil
}

type differences struct {
	findings []Finding
}

func (d *differences) report(rule Rule, place, field, value, effect string) {
	d.findings = append(d.findings, Finding{Severity: Change, Rule: rule, Place: place, Field: field, Value: value, Effect: effect})
}

// compare reports a value that differs.
func compare[T comparable](d *differences, rule Rule, place, field string, old, next T, effect string) {
	if old != next {
		d.report(rule, place, field, arrow(old, next), effect)
	}
}

const (
	byDefault = "the default"
	unlimited = "no limit"
)

// compareLimit reports a limit that differs. what is limited, and without is what applies if the
// limit is zero.
func compareLimit[N int | int64 | float64 | time.Duration](d *differences, place, field string, old, next N, what, without string) {
	effect := what + " rises"
	switch {
	case old == next:
		return
	case old == 0:
		effect = what + " gets a limit; " + without + " applied before"
	case next == 0:
		effect = what + ": " + without + " applies again"
	case next < old:
		effect = what + " falls"
	}
	d.report(RuleLimit, place, field, arrow(old, next), effect)
}

func arrow(old, next any) string { return fmt.Sprint(old) + " -> " + fmt.Sprint(next) }

// routeIndex finds routes as routetable.Table.Match does, but in a time that doesn't depend on
// the number of routes of a host, which matters when all routes are looked up.
type routeIndex map[routeKey]*routetable.Route

type routeKey struct{ host, prefix string }

func keyOf(route *routetable.Route) routeKey {
	return routeKey{host: routetable.NormalizeHost(route.Host), prefix: route.Prefix}
}

func newRouteIndex(routes []routetable.Route) routeIndex {
	index := make(routeIndex, len(routes))
	for i := range routes {
		key := keyOf(&routes[i])
		if _, isHidden := index[key]; !isHidden {
			index[key] = &routes[i]
		}
	}
	return index
}

// match returns the route of requests to the host and prefix of a route.
func (x routeIndex) match(route *routetable.Route) (*routetable.Route, bool) {
	key := keyOf(route)
	for {
		if found, ok := x[key]; ok {
			return found, true
		}
		parent := strings.LastIndexByte(strings.TrimSuffix(key.prefix, "/"), '/')
		if parent < 0 {
			return nil, false
		}
		key.prefix = key.prefix[:parent+1]
	}
}

func (d *differences) compareRoutes(old, next []routetable.Route) {
	oldIndex, nextIndex := newRouteIndex(old), newRouteIndex(next)
	for i := range old {
		route := &old[i]
		if inForce, _ := oldIndex.match(route); inForce != route {
			// The route is hidden.
			continue
		}
		successor, isMatched := nextIndex.match(route)
		switch {
		case !isMatched:
			d.report(RuleAccess, RoutePlace(i, route.Name), "", "", "removed: requests to "+address(route)+" are refused with 404")
		case successor.Prefix != route.Prefix:
			d.report(RuleRouting, RoutePlace(i, route.Name), "", "", "removed: requests to "+address(route)+" go to route "+strconv.Quote(successor.Name)+", to "+split(successor))
		}
	}
	for i := range next {
		route := &next[i]
		place := RoutePlace(i, route.Name)
		if match, _ := nextIndex.match(route); match != route {
			continue
		}
		predecessor, isMatched := oldIndex.match(route)
		switch {
		case !isMatched:
			d.report(RuleAccess, place, "", "", "new: requests to "+address(route)+", which were refused with 404, go to "+split(route))
		case predecessor.Prefix != route.Prefix:
			d.report(RuleRouting, place, "", "", "new: requests to "+address(route)+", which went to route "+strconv.Quote(predecessor.Name)+", go to "+split(route))
			d.compareRoute(place, predecessor, route)
		default:
			d.compareRoute(place, predecessor, route)
		}
	}
}

func address(route *routetable.Route) string {
	return routetable.NormalizeHost(route.Host) + route.Prefix
}

// shares returns the share of requests of each service, which adds up the targets that name it.
func shares(route *routetable.Route) map[string]float64 {
	sum := 0.0
	for _, target := range route.Targets {
		sum += float64(target.Weight)
	}
	services := make(map[string]float64, len(route.Targets))
	for _, target := range route.Targets {
		if target.Weight > 0 {
			services[target.Service] += float64(target.Weight) / sum
		}
	}
	return services
}

// split describes to which services requests go.
func split(route *routetable.Route) string {
	services := shares(route)
	names := make([]string, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(services[b], services[a]), cmp.Compare(a, b))
	})
	for i, name := range names {
		names[i] = strconv.Quote(name)
		if share := services[name]; share < 1 {
			names[i] += " (" + strconv.FormatFloat(math.Round(share*1000)/10, 'f', -1, 64) + "%)"
		}
	}
	return strings.Join(names, ", ")
}

var kindNames = map[routetable.Kind]string{
	routetable.AtMostOnce: "at most once",
	routetable.Idempotent: "possibly more than once",
	routetable.Stream:     "as a stream",
}

func (d *differences) compareRoute(place string, old, next *routetable.Route) {
	compare(d, RuleRouting, place, "Targets", split(old), split(next), "requests go to other services, or in other shares")
	compare(d, RuleRepetition, place, "Kind", kindNames[old.Kind], kindNames[next.Kind], "requests run "+kindNames[next.Kind])
	if old.Kind == routetable.Stream && next.Kind == routetable.Stream {
		effect := "a stream whose endpoint fails is ended"
		if next.IsResumable {
			effect = "a stream whose endpoint fails is continued by another, so that its request may run more than once"
		}
		compare(d, RuleRepetition, place, "IsResumable", old.IsResumable, next.IsResumable, effect)
	}
	effect := "callers without a secret lose access"
	if next.IsAnonymous {
		effect = "callers without a secret get access"
	}
	compare(d, RuleAccess, place, "IsAnonymous", old.IsAnonymous, next.IsAnonymous, effect)
	compareLimit(d, place, "Timeout", old.Timeout, next.Timeout, "the longest duration of a request", byDefault)
	compareLimit(d, place, "TargetLatency", old.TargetLatency, next.TargetLatency, "the latency that requests are served for", byDefault)
	compareLimit(d, place, "MaxAttempts", old.MaxAttempts, next.MaxAttempts, "the number of endpoints that a request is sent to", byDefault)
	comparePriority(d, place, old.Priority, next.Priority)
	d.compareHomes(place, old.Homes, next.Homes)
}

func comparePriority(d *differences, place string, old, next int) {
	effect := "requests are refused later under overload"
	if next > old {
		effect = "requests are refused earlier under overload"
	}
	compare(d, RuleOrder, place, "Priority", old, next, effect)
}

func (d *differences) compareHomes(place string, old, next routetable.Homes) {
	describe := func(homes routetable.Homes) string {
		if !homes.IsRestricted() {
			return "all regions"
		}
		sorted := slices.Compact(slices.Sorted(slices.Values(homes)))
		return cmp.Or(strings.Join(sorted, ", "), "no region")
	}
	compare(d, RuleRegions, place, "Homes", describe(old), describe(next), "requests are sent to endpoints of "+describe(next)+" only")
}

func (d *differences) compareServices(old, next []routetable.Service) {
	before := make(map[string]*routetable.Service, len(old))
	for i := range old {
		before[old[i].Name] = &old[i]
	}
	after := make(map[string]*routetable.Service, len(next))
	for i := range next {
		after[next[i].Name] = &next[i]
	}
	for _, service := range old {
		if _, remains := after[service.Name]; !remains {
			d.report(RuleServiceSetup, servicePlace(service.Name), "", "", "removed: its endpoints get no request")
		}
	}
	for i := range next {
		service := &next[i]
		place := servicePlace(service.Name)
		was, existed := before[service.Name]
		switch {
		case after[service.Name] != service:
		case !existed:
			d.report(RuleServiceSetup, place, "", "", "new: its endpoints get the requests of routes that name it")
		default:
			compare(d, RuleServiceSetup, place, "Engine", was.Engine != nil, service.Engine != nil, "requests are placed by other rules")
			if was.Engine != nil && service.Engine != nil {
				compareLimit(d, place, "Slots", was.Engine.Slots, service.Engine.Slots, "the number of requests that an engine runs at once", byDefault)
			}
			compareLimit(d, place, "ColdStart", was.ColdStart, service.ColdStart, "the time for which an endpoint counts as cold", byDefault)
			compareLimit(d, place, "ColdPerSecond", was.ColdPerSecond, service.ColdPerSecond, "the rate of requests to a cold endpoint", unlimited)
		}
	}
}

func (d *differences) compareAccounts(oldTable, nextTable *routetable.Table, old, next []routetable.Credentials) {
	if oldTable.RequiresAccount() != nextTable.RequiresAccount() {
		effect := "requests need no secret"
		if nextTable.RequiresAccount() {
			effect = "callers without a secret lose access to routes that aren't anonymous"
		}
		d.report(RuleAccess, "configuration", "Accounts", "", effect)
	}
	d.compareSecrets(oldTable, nextTable, old, next)
	before := make(map[string]*routetable.Account, len(old))
	for i := range old {
		before[old[i].Account.Name] = &old[i].Account
	}
	for i := range next {
		account := &next[i].Account
		was, existed := before[account.Name]
		if !existed {
			continue
		}
		place := accountPlace(account.Name)
		switch {
		case was.Priority != nil && account.Priority != nil:
			comparePriority(d, place, *was.Priority, *account.Priority)
		case account.Priority != nil:
			d.report(RuleOrder, place, "Priority", strconv.Itoa(*account.Priority), "requests have this priority instead of their route's")
		case was.Priority != nil:
			d.report(RuleOrder, place, "Priority", "", "requests have their route's priority instead of "+strconv.Itoa(*was.Priority))
		}
		d.compareHomes(place, was.Homes, account.Homes)
	}
}

// compareSecrets reports which secrets no longer admit callers, admit new ones, or belong to
// another account. Secrets are counted and never shown.
func (d *differences) compareSecrets(oldTable, nextTable *routetable.Table, old, next []routetable.Credentials) {
	for _, account := range old {
		place := accountPlace(account.Account.Name)
		lost, held := 0, 0
		for _, secret := range distinct(account.Secrets) {
			owner, isAdmitted := oldTable.Account(secret)
			if !isAdmitted || owner.Name != account.Account.Name {
				continue
			}
			held++
			now, isAdmitted := nextTable.Account(secret)
			switch {
			case !isAdmitted:
				lost++
			case now.Name != owner.Name:
				d.report(RuleAccess, place, "Secrets", "", "callers with one of its secrets count as "+accountPlace(now.Name))
			}
		}
		if lost > 0 {
			d.report(RuleAccess, place, "Secrets", "", fmt.Sprintf("callers with %d of its %d secrets lose access", lost, held))
		}
	}
	for _, account := range next {
		added := 0
		for _, secret := range distinct(account.Secrets) {
			owner, isAdmitted := nextTable.Account(secret)
			if _, wasAdmitted := oldTable.Account(secret); isAdmitted && !wasAdmitted && owner.Name == account.Account.Name {
				added++
			}
		}
		if added > 0 {
			d.report(RuleAccess, accountPlace(account.Account.Name), "Secrets", "", fmt.Sprintf("callers with secrets added to it (%d) get access", added))
		}
	}
}

func distinct(values []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(values)))
}

func (d *differences) compareLimits(old, next routetable.Limits) {
	compareLimit(d, "limits", "HeaderBytes", old.HeaderBytes, next.HeaderBytes, "the size of a request's header", byDefault)
	compareLimit(d, "limits", "BodyBytes", old.BodyBytes, next.BodyBytes, "the size of a request's body", byDefault)
	compareLimit(d, "limits", "HeaderTimeout", old.HeaderTimeout, next.HeaderTimeout, "the time in which a header must arrive", byDefault)
	compareLimit(d, "limits", "IdleTimeout", old.IdleTimeout, next.IdleTimeout, "the time for which an idle connection stays open", byDefault)
}

// ResourceChanges returns what callers notice when documents are applied onto base.
func ResourceChanges(base *resource.Snapshot, objects []resource.Object) []Finding {
	d := &differences{}
	after := withObjects(base, objects)
	for _, object := range after.List("") {
		was, existed := base.Get(object.Kind, object.Name)
		place := objectPlace(object.Key())
		switch {
		case object.Endpoint != nil:
			d.compareEndpoint(place, was.Endpoint, object.Endpoint)
		case object.Account != nil:
			d.compareAccount(place, was.Account, object.Account)
		case object.Model != nil && existed && was.Model != nil:
			d.compareModel(place, was.Model, object.Model)
		case object.Service != nil && existed && was.Service != nil:
			d.compareNonIdempotent(place, was.Service, object.Service)
		case !existed:
			d.report(RuleServiceSetup, place, "", "", "new: callers can name it")
		}
	}
	return d.findings
}

func (d *differences) compareEndpoint(place string, old, next *resource.Endpoint) {
	switch {
	case old == nil && next.Withdrawn:
	case old == nil:
		d.report(RuleRouting, place, "", "", "new: gets requests for "+served(next))
	case old.Withdrawn != next.Withdrawn:
		effect := "gets requests for " + served(next) + " again"
		if next.Withdrawn {
			effect = "gets no new request for " + served(old) + ", which go to other endpoints if there are any"
		}
		compare(d, RuleRouting, place, "endpoint.withdrawn", old.Withdrawn, next.Withdrawn, effect)
	}
	if old == nil || next.Withdrawn {
		return
	}
	compare(d, RuleRouting, place, "endpoint.models and services", served(old), served(next), "requests for other models and services are sent to it")
	compare(d, RuleRouting, place, "endpoint.url", old.URL, next.URL, "its requests go to another server")
	compare(d, RuleRouting, place, "endpoint.zone", old.Zone, next.Zone, "it counts as an endpoint of another zone")
	compare(d, RuleRepetition, place, "endpoint.fencing", cmp.Or(old.Fencing, resource.FencingIgnored), cmp.Or(next.Fencing, resource.FencingIgnored), "at-most-once requests are resent by other rules")
}

func served(endpoint *resource.Endpoint) string {
	return strings.Join(slices.Sorted(slices.Values(slices.Concat(endpoint.Models, endpoint.Services))), ", ")
}

func (d *differences) compareAccount(place string, old, next *resource.Account) {
	if old == nil {
		d.report(RuleAccess, place, "", "", "new: callers with its token get access")
		return
	}
	if old.TokenSHA256 != next.TokenSHA256 {
		d.report(RuleAccess, place, "clientAccount.tokenSha256", "", "callers with its former token lose access; those with the new one get it")
	}
	compareLimit(d, place, "clientAccount.requestsPerSecond", old.RequestsPerSecond, next.RequestsPerSecond, "the rate of the account's requests", unlimited)
	compareLimit(d, place, "clientAccount.weight", max(old.Weight, 1), max(next.Weight, 1), "the account's share when engines are full", byDefault)
	compare(d, RuleOrder, place, "clientAccount.priority", old.Priority, next.Priority, "engines serve its requests in another order")
}

func (d *differences) compareModel(place string, old, next *resource.Model) {
	bound := func(m *resource.Model) float64 { return cmp.Or(m.LoadBound, resource.DefaultLoadBound) }
	compareLimit(d, place, "model.loadBound", bound(old), bound(next), "the highest load of an engine", byDefault)
	compare(d, RuleRouting, place, "model.reuseWeight", old.ReuseWeight, next.ReuseWeight, "chats return to the same engine more or less often")
}

func (d *differences) compareNonIdempotent(place string, old, next *resource.Service) {
	for _, path := range next.NonIdempotent {
		if !slices.Contains(old.NonIdempotent, path) {
			d.report(RuleRepetition, place, "service.nonIdempotent", path, "requests to the path run at most once")
		}
	}
	for _, path := range old.NonIdempotent {
		if !slices.Contains(next.NonIdempotent, path) {
			d.report(RuleRepetition, place, "service.nonIdempotent", path, "requests to the path may run more than once")
		}
	}
}
