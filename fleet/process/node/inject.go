package node

import (
	"log/slog"
	"time"

	"github.com/samber/do/v2"

	"gentianhead/core/process/membership"
	"gentianhead/fleet/connection/engine"
	"gentianhead/fleet/connection/peer"
	"gentianhead/fleet/connection/platform"
	"gentianhead/fleet/process/control"
	"gentianhead/fleet/process/settings"
	"gentianhead/fleet/process/telemetry"
	"gentianhead/fleet/request/admin"
	"gentianhead/fleet/request/claims"
	"gentianhead/fleet/request/gateway"
	"gentianhead/fleet/version/desired"
)

// secrets are the values that the settings name.
type secrets struct {
	operatorToken string
	fleetKey      string
}

func readSecrets(s settings.Secrets) (secrets, error) {
	operatorToken, err := s.OperatorToken.Read()
	if err != nil {
		return secrets{}, err
	}
	fleetKey, err := s.FleetKey.Read()
	return secrets{operatorToken: operatorToken, fleetKey: fleetKey}, err
}

// newInjector says how each part of the process is made. Parts are made once,
// when first asked for.
func newInjector(s *settings.Settings, logger *slog.Logger) (do.Injector, error) {
	keys, err := readSecrets(s.Secrets)
	if err != nil {
		return nil, err
	}
	own := self(s)
	injector := do.New()
	do.ProvideValue(injector, s)
	do.Provide(injector, func(do.Injector) (*platform.Client, error) {
		return platform.NewClient(s.Platform.URL), nil
	})
	do.Provide(injector, func(do.Injector) (*engine.Client, error) {
		return engine.NewClient(), nil
	})
	do.Provide(injector, func(do.Injector) (*peer.Pool, error) {
		return peer.NewPool([]byte(keys.fleetKey)), nil
	})
	do.Provide(injector, func(i do.Injector) (*desired.Store, error) {
		return desired.NewStore(do.MustInvoke[*platform.Client](i)), nil
	})
	do.Provide(injector, func(i do.Injector) (*control.Loop, error) {
		return control.New(control.Options{
			Self:     own,
			Desired:  do.MustInvoke[*desired.Store](i),
			Platform: do.MustInvoke[*platform.Client](i),
			Peers:    do.MustInvoke[*peer.Pool](i),
			Log:      telemetry.Part(logger, "control"),
		}), nil
	})
	do.Provide(injector, func(i do.Injector) (*peer.Server, error) {
		server := peer.NewServer([]byte(keys.fleetKey), telemetry.Part(logger, "peer"))
		do.MustInvoke[*control.Loop](i).Register(server)
		do.MustInvoke[*claims.Manager](i).Register(server)
		return server, nil
	})
	do.Provide(injector, func(i do.Injector) (*claims.Manager, error) {
		loop := do.MustInvoke[*control.Loop](i)
		return claims.New(claims.Options{
			Self:        own,
			Store:       do.MustInvoke[*platform.Client](i),
			Peers:       do.MustInvoke[*peer.Pool](i),
			Engine:      engine.NewSingleUseClient(),
			View:        func() *membership.View { return loop.State().View },
			SendTimeout: s.Limits.RequestDeadline,
			Log:         telemetry.Part(logger, "claims"),
		}), nil
	})
	do.Provide(injector, func(i do.Injector) (*gateway.Gateway, error) {
		return gateway.New(gateway.Options{
			Control:  do.MustInvoke[*control.Loop](i),
			Engine:   do.MustInvoke[*engine.Client](i),
			Claims:   do.MustInvoke[*claims.Manager](i),
			Limits:   s.Limits,
			Shutdown: s.Shutdown,
			Log:      telemetry.Part(logger, "gateway"),
		}), nil
	})
	do.Provide(injector, func(i do.Injector) (admin.Options, error) {
		return admin.Options{
			Control: do.MustInvoke[*control.Loop](i),
			Desired: do.MustInvoke[*desired.Store](i),
			Table:   do.MustInvoke[*platform.Client](i),
			Token:   keys.operatorToken,
			Log:     telemetry.Part(logger, "admin"),
		}, nil
	})
	return injector, nil
}

func self(s *settings.Settings) membership.Router {
	return membership.Router{
		Instance:      s.Instance,
		Zone:          s.Zone,
		CallerAddress: s.Listen.Callers,
		PeerAddress:   s.Listen.Peers,
		Incarnation:   uint64(time.Now().UnixNano()),
	}
}
