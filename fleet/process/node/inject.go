package node

import (
	"log/slog"
	"time"

	"github.com/samber/do/v2"

	"gentianhead/core/process/membership"
	"gentianhead/core/process/table"
	"gentianhead/fleet/connection/engine"
	"gentianhead/fleet/connection/instances"
	"gentianhead/fleet/connection/peer"
	"gentianhead/fleet/connection/transport"
	"gentianhead/fleet/process/control"
	"gentianhead/fleet/process/settings"
	"gentianhead/fleet/process/telemetry"
	"gentianhead/fleet/request/admin"
	"gentianhead/fleet/request/claims"
	"gentianhead/fleet/request/gateway"
	"gentianhead/fleet/version/desired"
	"gentianhead/platform"
)

// secrets holds the values of the secrets that the settings refer to.
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

// newInjector registers the constructors of the process's components. Each
// component is created once, on first use.
func newInjector(s *settings.Settings, logger *slog.Logger) (do.Injector, error) {
	keys, err := readSecrets(s.Secrets)
	if err != nil {
		return nil, err
	}
	own := self(s)
	injector := do.New()
	do.ProvideValue(injector, s)
	do.Provide(injector, func(do.Injector) (*platform.Store, error) {
		return platform.NewStore(s.Platform.URL, transport.Guard, telemetry.TraceTransport), nil
	})
	do.Provide(injector, func(i do.Injector) (*engine.Client, error) {
		client := engine.NewClient()
		client.SetGate(do.MustInvoke[*control.Loop](i))
		return client, nil
	})
	do.Provide(injector, func(do.Injector) (*peer.Pool, error) {
		return peer.NewPool([]byte(keys.fleetKey)), nil
	})
	do.Provide(injector, func(i do.Injector) (*desired.Store, error) {
		return desired.NewStore(stateTable(i)), nil
	})
	do.Provide(injector, func(i do.Injector) (*control.Loop, error) {
		return control.New(control.Options{
			Self:      own,
			Desired:   do.MustInvoke[*desired.Store](i),
			Instances: instances.NewList(do.MustInvoke[*platform.Store](i).Table(instances.TableName)),
			Peers:     do.MustInvoke[*peer.Pool](i),
			Log:       telemetry.ComponentLogger(logger, "control"),
		}), nil
	})
	do.Provide(injector, func(i do.Injector) (*peer.Server, error) {
		server := peer.NewServer([]byte(keys.fleetKey), telemetry.ComponentLogger(logger, "peer"))
		do.MustInvoke[*control.Loop](i).Register(server)
		do.MustInvoke[*claims.Manager](i).Register(server)
		return server, nil
	})
	do.Provide(injector, func(i do.Injector) (*claims.Manager, error) {
		loop := do.MustInvoke[*control.Loop](i)
		return claims.New(claims.Options{
			Self:        own,
			Store:       claimStore{stateTable(i), do.MustInvoke[*platform.Store](i)},
			Peers:       do.MustInvoke[*peer.Pool](i),
			Engine:      engine.NewSingleUseClient(),
			View:        func() *membership.View { return loop.State().View },
			SendTimeout: s.Limits.RequestDeadline,
			Log:         telemetry.ComponentLogger(logger, "claims"),
		}), nil
	})
	do.Provide(injector, func(i do.Injector) (*gateway.Gateway, error) {
		return gateway.New(gateway.Options{
			Control:  do.MustInvoke[*control.Loop](i),
			Engine:   do.MustInvoke[*engine.Client](i),
			Claims:   do.MustInvoke[*claims.Manager](i),
			Limits:   s.Limits,
			Shutdown: s.Shutdown,
			Log:      telemetry.ComponentLogger(logger, "gateway"),
		}), nil
	})
	do.Provide(injector, func(i do.Injector) (admin.Options, error) {
		return admin.Options{
			Control: do.MustInvoke[*control.Loop](i),
			Desired: do.MustInvoke[*desired.Store](i),
			Table:   stateTable(i),
			Token:   keys.operatorToken,
			Log:     telemetry.ComponentLogger(logger, "admin"),
		}, nil
	})
	return injector, nil
}

// tableName is the name of the table that holds the configuration and the
// claims. Their keys have distinct prefixes.
const tableName = "state"

func stateTable(i do.Injector) table.Table { return do.MustInvoke[*platform.Store](i).Table(tableName) }

// claimStore is the storage of claims.
type claimStore struct {
	table.Table
	table.Objects
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
