// Command standin runs a simulated platform, or a simulated model engine that is also
// a plain service, for demos and tests.
//
//	standin platform -listen 127.0.0.1:9000
//	standin engine -listen 127.0.0.1:9101 -name e1 -token-delay 5ms
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"gentianhead/platform/platformtest"
	"gentianhead/standin/engine"
)

func main() {
	if len(os.Args) < 2 {
		fatal("usage: standin platform|engine [flags]")
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:9000", "address to listen on")
	name := flags.String("name", "e1", "name included in responses")
	tokens := flags.Int("tokens", 8, "tokens in a response")
	tokenDelay := flags.Duration("token-delay", 5*time.Millisecond, "time between two tokens")
	slots := flags.Int("slots", 0, "concurrent requests that the engine reports as its capacity")
	checksFencing := flags.Bool("checks-fencing", false, "refuse fencing numbers below the highest of an idempotency key")
	crashText := flags.String("crash-text", "", "end when a chat with this text begins to be answered")
	laggingTable := flags.String("lagging-table", "instances", "platform table whose changes become visible late")
	lag := flags.Duration("lag", 2*time.Second, "delay before changes of that table become visible")
	_ = flags.Parse(os.Args[2:])

	var handler http.Handler
	switch os.Args[1] {
	case "platform":
		store := platformtest.New()
		store.SetReadLag(*laggingTable, *lag)
		handler = store.Handler()
	case "engine":
		handler = engine.New(engine.Options{
			Name:          *name,
			Tokens:        *tokens,
			TokenDelay:    *tokenDelay,
			Slots:         *slots,
			ChecksFencing: *checksFencing,
			CrashText:     *crashText,
			Exit:          func() { fatal("crashed by a request") },
		}).Handler()
	default:
		fatal("unknown server " + os.Args[1] + "; allowed: platform, engine")
	}
	if err := http.ListenAndServe(*listen, handler); err != nil {
		fatal(err.Error())
	}
}

func fatal(message string) {
	fmt.Fprintln(os.Stderr, "standin: "+message)
	os.Exit(2)
}
