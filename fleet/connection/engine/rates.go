package engine

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/withdrawal"
)

// HeaderRequestRate is how many requests a second an endpoint takes from all routers
// together, as it states it in its answers. Requests that resume, cancel or fence others
// don't count.
const HeaderRequestRate = "X-Request-Rate"

// ErrAtLimit means that the endpoint is at the request rate that it states. The request was
// not sent.
var ErrAtLimit = errors.New("engine: endpoint is at its request rate")

// Rates keeps the request rates that endpoints, identified by their host:port, state. The
// gateway implements it; its methods are called from request goroutines and must not block.
type Rates interface {
	// Take counts a request that is about to be sent and returns the time. It reports whether
	// the endpoint takes the request.
	Take(address string) (at time.Duration, isAllowed bool)
	// Stated records the values of HeaderRequestRate in the answer to a request that was
	// counted at a time.
	Stated(address string, takenAt time.Duration, values []string)
}

// SetRates makes the client keep stated request rates. It must be called before the first
// request.
func (c *Client) SetRates(rates Rates) { c.rates = rates }

// takeRate counts new work against the endpoint's rate. Its error wraps ErrNotSent.
func (c *Client) takeRate(request Request) (at time.Duration, err error) {
	if c.rates == nil || request.Ungated {
		return 0, nil
	}
	at, isAllowed := c.rates.Take(withdrawal.AddressOf(request.URL))
	if !isAllowed {
		return 0, fmt.Errorf("%w: %w", ErrNotSent, ErrAtLimit)
	}
	return at, nil
}

func (c *Client) recordRate(request Request, takenAt time.Duration, response *http.Response) {
	if c.rates != nil && !request.Ungated {
		c.rates.Stated(withdrawal.AddressOf(request.URL), takenAt, response.Header.Values(HeaderRequestRate))
	}
}
