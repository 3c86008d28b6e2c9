package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"
	oklogrun "github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/standin"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
)

func init() { registrations = append(registrations, registerStandin) }

const standinDescription = `Stand-ins of the platform.

Prints the addresses as JSON once everything listens, and runs until SIGINT or
SIGTERM.

Examples:
  bramblemast-lab standin run --preset valgsok
  bramblemast-lab standin run deployment.yaml --addresses /tmp/addresses.json
  bramblemast-lab standin backend --preset valgsok --server resultatside/group0/0 --listen 127.0.0.1:9001
  bramblemast-lab standin store --listen 127.0.0.1:8500
  bramblemast-lab standin machinelist --listen 127.0.0.1:8600`

// registerStandin adds "standin run", "backend", "store" and "machinelist".
func registerStandin(parser *flags.Parser) error {
	parent, err := parser.AddCommand("standin", "Stand-ins of the platform", standinDescription, &struct{}{})
	if err != nil {
		return err
	}
	commands := []struct {
		name, short string
		data        any
	}{
		{"run", "All stand-ins of a deployment in one process", &standinRun{}},
		{"backend", "One back-end server", &standinBackend{}},
		{"store", "The configuration store alone", &standinStore{}},
		{"machinelist", "The machine list alone", &standinMachineList{}},
	}
	for _, command := range commands {
		if _, err := parent.AddCommand(command.name, command.short, command.short+".", command.data); err != nil {
			return err
		}
	}
	return nil
}

// outputOptions tell what a command prints.
type outputOptions struct {
	Addresses string `long:"addresses" value-name:"FILE" description:"Write the addresses as JSON to this file instead of standard output."`
	Admin     string `long:"admin" value-name:"HOST:PORT" default:"127.0.0.1:0" description:"Listener of the admin interface."`
	LogLevel  string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Least level of the log on standard error."`
}

func (o *outputOptions) logger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "lab",
		Level:      hclog.LevelFromString(o.LogLevel),
		Output:     os.Stderr,
		JSONFormat: true,
	})
}

// deploymentOptions choose a deployment.
type deploymentOptions struct {
	Preset string  `long:"preset" choice:"valgsok" choice:"colour-archive" description:"A deployment at its size of today."`
	Seed   *uint64 `long:"seed" description:"Seed of the contents and of all random choices."`
}

// load returns the preset or the deployment of the file.
func (o *deploymentOptions) load(file string) (*topology.Deployment, error) {
	deployment, err := o.read(file)
	if err != nil {
		return nil, err
	}
	if o.Seed != nil {
		deployment.Seed = *o.Seed
	}
	return deployment, nil
}

func (o *deploymentOptions) read(file string) (*topology.Deployment, error) {
	switch {
	case file != "" && o.Preset != "":
		return nil, errors.New("give either a deployment file or --preset")
	case file != "":
		return topology.Load(file)
	case o.Preset != "":
		return topology.Preset(o.Preset), nil
	default:
		return nil, errors.New("give a deployment file or --preset")
	}
}

// standinRun is "standin run".
type standinRun struct {
	outputOptions
	deploymentOptions
	Store       string `long:"store" value-name:"HOST:PORT" default:"127.0.0.1:0" description:"Listener of the configuration store."`
	MachineList string `long:"machine-list" value-name:"HOST:PORT" default:"127.0.0.1:0" description:"Listener of the machine list."`
	Arguments   struct {
		File string `positional-arg-name:"FILE" description:"Deployment file."`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *standinRun) Execute([]string) error {
	deployment, err := c.load(c.Arguments.File)
	if err != nil {
		return err
	}
	return serveStandin(&c.outputOptions, standin.Options{
		Topology:           deployment,
		StoreAddress:       c.Store,
		MachineListAddress: c.MachineList,
	})
}

// standinBackend is "standin backend".
type standinBackend struct {
	outputOptions
	deploymentOptions
	Server    string `long:"server" value-name:"NAME" required:"yes" description:"Name of the server in the deployment, for example resultatside/group0/0."`
	Listen    string `long:"listen" value-name:"HOST:PORT" default:"127.0.0.1:0" description:"Listener of the server."`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"Deployment file."`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *standinBackend) Execute([]string) error {
	deployment, err := c.load(c.Arguments.File)
	if err != nil {
		return err
	}
	if !hasServer(deployment, c.Server) {
		return errors.Errorf("deployment %s has no server %q", deployment.Name, c.Server)
	}
	return serveStandin(&c.outputOptions, standin.Options{
		Topology:           deployment,
		Server:             c.Server,
		ServerAddress:      c.Listen,
		WithoutStore:       true,
		WithoutMachineList: true,
	})
}

func hasServer(deployment *topology.Deployment, name string) bool {
	for _, plan := range deployment.Plan() {
		if plan.Name == name {
			return true
		}
	}
	return false
}

// standinStore is "standin store".
type standinStore struct {
	outputOptions
	Listen string `long:"listen" value-name:"HOST:PORT" default:"127.0.0.1:0" description:"Listener of the store."`
}

// Execute implements flags.Commander.
func (c *standinStore) Execute([]string) error {
	return serveStandin(&c.outputOptions, standin.Options{
		Topology:           &topology.Deployment{Name: "store"},
		StoreAddress:       c.Listen,
		WithoutBackends:    true,
		WithoutMachineList: true,
	})
}

// standinMachineList is "standin machinelist".
type standinMachineList struct {
	outputOptions
	Listen string `long:"listen" value-name:"HOST:PORT" default:"127.0.0.1:0" description:"Listener of the list."`
}

// Execute implements flags.Commander.
func (c *standinMachineList) Execute([]string) error {
	return serveStandin(&c.outputOptions, standin.Options{
		Topology:           &topology.Deployment{Name: "machinelist"},
		MachineListAddress: c.Listen,
		WithoutBackends:    true,
		WithoutStore:       true,
	})
}

// serveStandin starts the stand-ins, tells the addresses, and waits for a
// signal.
func serveStandin(output *outputOptions, options standin.Options) error {
	options.AdminAddress = output.Admin
	options.Logger = output.logger()
	deployment, err := standin.Start(options)
	if err != nil {
		return err
	}
	defer deployment.Stop()
	if err := writeAddresses(output.Addresses, deployment.Addresses()); err != nil {
		return err
	}
	options.Logger.Info("stand-ins run", "deployment", options.Topology.Name, "seed", options.Topology.Seed)
	return waitForSignal()
}

func writeAddresses(file string, addresses labapi.Addresses) error {
	content, err := json.MarshalIndent(addresses, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode addresses")
	}
	content = append(content, '\n')
	if file == "" {
		_, err = os.Stdout.Write(content)
		return errors.Wrap(err, "print addresses")
	}
	return writeWhole(file, content)
}

// writeWhole replaces a file at once, so that a reader never sees half of it.
func writeWhole(file string, content []byte) error {
	draft := fmt.Sprintf("%s.%d", file, os.Getpid())
	if err := os.WriteFile(draft, content, 0o644); err != nil {
		return errors.Wrap(err, "write file")
	}
	return errors.Wrap(os.Rename(draft, file), "replace file")
}

// waitForSignal returns nil after SIGINT or SIGTERM.
func waitForSignal() error {
	var group oklogrun.Group
	group.Add(oklogrun.SignalHandler(context.Background(), syscall.SIGINT, syscall.SIGTERM))
	return withoutSignal(group.Run())
}

// withoutSignal turns the error of a signal, which is the planned end of a
// command, into nil.
func withoutSignal(err error) error {
	if errors.Is(err, oklogrun.ErrSignal) {
		return nil
	}
	return err
}
