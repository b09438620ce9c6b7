package balance

import (
	"time"

	"gentianhead/core/request/shedding"
)

// outputWork is the work of a generated token in prompt tokens: in a full batch, a step takes
// about as long for each as prefilling ten tokens.
const outputWork = 10

// Shed is why a request was refused for lack of capacity.
type Shed struct {
	shedding.Decision
	Rank int
	// Expected is the expected time to the answer, zero if unknown, Capacity that of the
	// service in requests per second, zero if unknown, and Age how old the reports of other
	// routers are on which both rest.
	Expected time.Duration
	Capacity float64
	Age      time.Duration
	// RetryDelay is when the caller should come back.
	RetryDelay time.Duration
}

// isShed decides whether a request is refused, by its place in the order of refusals. It
// records why in lastShed.
//
// Refused by fair shares of accounts alone, an urgent request is refused half as often as one
// of the next rank, which is still often, and one that comes back at once as often as others.
func (c *Core) isShed(now time.Duration, request PlacementRequest, room shedding.Room) bool {
	c.recordAsked(now, request)
	service, asked := c.statsFor(request.Service), askedOf(request)
	decision := service.shedding.Decide(now, asked, room)
	isShed := shedding.Draw(request.Repeat, request.Window) < decision.Fraction
	if request.IsMove || request.Repeat == 0 {
		isShed = c.isDrawnForRefusal(request, decision.Fraction)
	}
	if isShed && !request.IsMove {
		delay := shedding.RetryDelay(asked, c.random())
		service.shedding.RecordRefusal(now, asked, delay)
		c.lastShed = &Shed{
			Decision: decision, Rank: request.Flow.Rank, Expected: room.Expected,
			Capacity: c.Capacity(request.Service), Age: c.reportAge(), RetryDelay: delay,
		}
	}
	return isShed
}

// recordAsked records a request for a service under pressure, whether it is served or not.
func (c *Core) recordAsked(now time.Duration, request PlacementRequest) {
	if c.isPressured(request.Service) && len(request.Excluded) == 0 && !request.IsMove {
		c.statsFor(request.Service).shedding.Record(now, askedOf(request))
	}
}

func askedOf(request PlacementRequest) shedding.Request {
	return shedding.Request{
		Account: request.Flow.Account, Rank: request.Flow.Rank, Work: workOf(request),
		Target: request.Target, Left: request.Left, Repeat: request.Repeat,
	}
}

// workOf returns the work of a request at an engine in prompt tokens, without shared parts,
// which are usually cached; zero for plain services.
func workOf(request PlacementRequest) float64 {
	prompt := request.Prompt
	if prompt == nil {
		return 0
	}
	own, output := prompt.InputTokens, prompt.ExpectedOutputTokens
	if len(prompt.Parts) > 0 {
		own = prompt.Parts[len(prompt.Parts)-1].Tokens
	}
	if output == 0 {
		output = prompt.MaxOutputTokens
	}
	return float64(own) + outputWork*float64(output)
}

// reportAge returns the mean age of what other routers reported; zero without reports.
func (c *Core) reportAge() time.Duration {
	if len(c.reports) == 0 {
		return 0
	}
	return c.reportInterval.value / 2
}
