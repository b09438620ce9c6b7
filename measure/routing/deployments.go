package main

import "time"

// tenAccountShares holds the request shares of client accounts, a few of them large.
var tenAccountShares = []float64{0.3, 0.2, 0.15, 0.1, 0.07, 0.06, 0.04, 0.04, 0.02, 0.02}

// molle favors cache reuse; its chats share prefixes.
var molle = deployment{
	name: "Molle", routers: 7, engines: 12, models: 1, slots: 24, cacheTokens: 1_500_000,
	accounts: tenAccountShares, requestsPerSecond: 14, sharedPrefixes: 20, sharedPrefixShare: 0.4, reuse: 0.8,
	lag: 2 * time.Second, listLag: 2 * time.Second, length: 30 * time.Minute, surgeAccount: -1, leaves: true, flaps: true,
}

// zhanibek favors even load; one account surges.
var zhanibek = deployment{
	name: "Zhanibek", routers: 7, engines: 12, models: 1, slots: 24, cacheTokens: 1_500_000,
	accounts: tenAccountShares, requestsPerSecond: 14, reuse: 0.2, sharedPrefixes: 1,
	lag: 2 * time.Second, listLag: 2 * time.Second, length: 30 * time.Minute, surgeAccount: 3, leaves: true, flaps: true,
}

var large = deployment{
	name: "large", routers: 410, engines: 1100, models: 23, slots: 64, cacheTokens: 1_500_000,
	accounts: skewedShares(1000), requestsPerSecond: 2600, reuse: 0.8, sharedPrefixes: 20, sharedPrefixShare: 0.1, bound: 1.25,
	lag: 2 * time.Second, listLag: 2 * time.Second, length: 60 * time.Second, surgeAccount: -1,
}

// skewedShares lets a tenth of n accounts send half of all requests.
func skewedShares(n int) []float64 {
	shares := make([]float64, n)
	for i := range shares {
		shares[i] = 0.5 / (0.9 * float64(n))
		if i < n/10 {
			shares[i] = 0.5 / (0.1 * float64(n))
		}
	}
	return shares
}
