package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"
	oklogrun "github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/faultproxy"
)

func init() { registrations = append(registrations, registerProxy) }

const proxyDescription = `Fault-injecting TCP proxy.

Prints the control address and the links as JSON, plays the schedule of the
file, and runs until SIGINT or SIGTERM.

Example of a file:
  seed: 7
  control: 127.0.0.1:9400
  links:
    - {name: store, listen: "127.0.0.1:9500", upstream: "127.0.0.1:8500", zone: oslo}
  schedule:
    - at: 10s
      duration: 5s
      link: store
      faults: {to_client: {stall: true}}

Examples:
  bramblemast-lab proxy run faults.yaml
  curl -X POST -H 'Content-Type: application/json' 127.0.0.1:9400/rules \
    -d '{"link": "store", "faults": {"refuse": true}}'
  curl -X DELETE 127.0.0.1:9400/rules/1`

// defaultControl is the control listener of a file that names none.
const defaultControl = "127.0.0.1:0"

// controlHeaderTimeout bounds the header of a control call.
const controlHeaderTimeout = 10 * time.Second

// registerProxy adds "proxy run".
func registerProxy(parser *flags.Parser) error {
	parent, err := parser.AddCommand("proxy", "Fault-injecting TCP proxy", proxyDescription, &struct{}{})
	if err != nil {
		return err
	}
	_, err = parent.AddCommand("run", "Run the proxy of a file", proxyDescription, &proxyRun{})
	return err
}

// proxyRun is "proxy run".
type proxyRun struct {
	LogLevel  string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Least level of the log on standard error."`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"Links and schedule."`
	} `positional-args:"yes" required:"yes"`
}

// proxyAddresses is what the command prints.
type proxyAddresses struct {
	Seed    uint64                `json:"seed"`
	Control string                `json:"control"`
	Links   []faultproxy.LinkInfo `json:"links"`
}

// Execute implements flags.Commander.
func (c *proxyRun) Execute([]string) error {
	file, err := faultproxy.LoadFile(c.Arguments.File)
	if err != nil {
		return err
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       "lab",
		Level:      hclog.LevelFromString(c.LogLevel),
		Output:     os.Stderr,
		JSONFormat: true,
	})
	proxy := faultproxy.New(file.Seed, logger)
	defer proxy.Close()
	for _, link := range file.Links {
		if _, err := proxy.AddLink(link); err != nil {
			return err
		}
	}
	return serveProxy(proxy, file)
}

// serveProxy runs the control interface and the schedule until a signal.
func serveProxy(proxy *faultproxy.Proxy, file *faultproxy.File) error {
	address := file.Control
	if address == "" {
		address = defaultControl
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for control")
	}
	if err := printProxy(proxy, file, listener.Addr().String()); err != nil {
		return err
	}
	server := &http.Server{Handler: proxy.Handler(), ReadHeaderTimeout: controlHeaderTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	var group oklogrun.Group
	// A listener that fails to close ends with the process.
	group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	group.Add(func() error { return playThenWait(ctx, proxy, file.Schedule) }, func(error) { cancel() })
	group.Add(oklogrun.SignalHandler(context.Background(), syscall.SIGINT, syscall.SIGTERM))
	return withoutSignal(group.Run())
}

// playThenWait plays the schedule and leaves its last state in force.
func playThenWait(ctx context.Context, proxy *faultproxy.Proxy, schedule []faultproxy.Step) error {
	if err := proxy.Run(ctx, schedule); err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

func printProxy(proxy *faultproxy.Proxy, file *faultproxy.File, control string) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(proxyAddresses{
		Seed:    file.Seed,
		Control: "http://" + control,
		Links:   proxy.Links(),
	}), "print addresses")
}
