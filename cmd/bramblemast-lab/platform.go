package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/edge"
	"github.com/bramblemast/bramblemast/platform"
	"github.com/bramblemast/bramblemast/platform/platformtest"
)

func init() { registrations = append(registrations, registerPlatform) }

const platformDescription = `A node on a stand-in of the users' platform, in one process.

Starts the platform's store, servers of four shards and of one service, and a
bramblemast-edge node; asks a gathered and a passed-on request, takes a shard
away, changes the configuration, and stops the node as planned. Ends by itself.

Examples:
  bramblemast-lab platform
  bramblemast-lab platform --log node.log`

// Names of the deployment that the command shows.
const (
	platformHost  = "results.example"
	platformZone  = "zone-a"
	platformShard = "shard-%d"
	platformCount = 4
	platformSpan  = 30 * time.Second
)

func registerPlatform(parser *flags.Parser) error {
	_, err := parser.AddCommand("platform", "A node on the users' platform", platformDescription, &platformCommand{})
	return err
}

// platformCommand is "platform".
type platformCommand struct {
	Log string `long:"log" value-name:"FILE" description:"Write the node's log lines to a file."`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, platformSpan)
	defer cancel()
	output, err := c.openLog()
	if err != nil {
		return err
	}
	stage := newPlatformStage()
	defer stage.close()
	return stage.run(ctx, output)
}

func (c *platformCommand) openLog() (io.Writer, error) {
	if c.Log == "" {
		return io.Discard, nil
	}
	file, err := os.Create(c.Log)
	return file, errors.Wrap(err, "open log")
}

// platformStage is the stand-in with its servers.
type platformStage struct {
	store  *platformtest.Store
	shards []*platformtest.Server
	single *platformtest.Server
	client *platformtest.Client
}

func newPlatformStage() *platformStage {
	stage := &platformStage{store: platformtest.StartStore()}
	for index := range platformCount {
		shard := platformtest.StartServer(stage.store, fmt.Sprintf("server-%d", index), fmt.Sprintf(platformShard, index), platformZone)
		shard.Set(platformtest.Behaviour{Records: []byte(fmt.Sprintf("record-%d-of-16b", index) + "record-0-of-16b ")[:32]})
		stage.shards = append(stage.shards, shard)
	}
	stage.single = platformtest.StartServer(stage.store, "server-archive", "archive", platformZone)
	stage.configure(1)
	return stage
}

// configure writes a version of the configuration; from version 2 on there is a
// second route to the archive.
func (s *platformStage) configure(version int) {
	var names []string
	for index := range platformCount {
		names = append(names, fmt.Sprintf(platformShard, index))
	}
	routes := []platformtest.Route{
		platformtest.Gather("tally", platformHost, "/tally/", names...),
		platformtest.Single("archive", platformHost, "/archive/", "non_idempotent", "archive"),
	}
	if version > 1 {
		routes = append(routes, platformtest.Single("old", platformHost, "/old/", "idempotent", "archive"))
	}
	s.store.Configure(uint64(version), routes...)
}

func (s *platformStage) close() {
	for _, shard := range s.shards {
		shard.Close()
	}
	s.single.Close()
	s.store.Close()
}

func (s *platformStage) run(ctx context.Context, output io.Writer) error {
	node, err := edge.New(edge.Options{
		Settings: &edge.Settings{
			Node: edge.NodeSettings{Name: "node-1", Zone: platformZone, Region: "region-a", Address: "127.0.0.1"},
			Listen: edge.ListenSettings{
				Clients: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: "127.0.0.1:0",
			},
			Store:  edge.StoreSettings{Address: s.store.Address()},
			Bounds: edge.BoundSettings{DrainMillis: 3000, ContactMillis: 5000, GraceSeconds: 2, ExtraRatio: 0.2, Extra: 50, ExtraWindowSeconds: 10},
		},
		Logger: edge.NewLogger("bramblemast-edge", output), Platform: platform.NewStore(s.store.Address()),
		Dialect: platform.Dialect(), ReadyPath: platform.ReadyPath,
	})
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- node.Run(running) }()
	s.client = platformtest.NewClient(node.ClientAddress())
	if err := s.show(ctx); err != nil {
		return err
	}
	s.client.HTTP.CloseIdleConnections()
	stop()
	fmt.Println("stopped as planned:", <-ended == nil)
	return nil
}

// show asks what the description tells.
func (s *platformStage) show(ctx context.Context) error {
	dialect := platform.Dialect()
	for _, scene := range []struct {
		title, path string
		status      int
		before      func()
	}{
		{"all four shards", "/tally/a", http.StatusOK, func() {}},
		{"one server's answer", "/archive/a", http.StatusOK, func() {}},
		{"a route that no configuration names", "/old/a", http.StatusNotFound, func() {}},
		{"a shard without servers", "/tally/b", http.StatusOK, s.shards[0].Close},
		{"the route after a change of the configuration", "/old/b", http.StatusOK, func() { s.configure(2) }},
	} {
		scene.before()
		answer, err := s.ask(ctx, scene.path, scene.status)
		if err != nil {
			return errors.WithMessage(err, scene.title)
		}
		fmt.Printf("%s: %d, %d bytes, %d parts, %q missing, %v\n", scene.title, answer.Status, len(answer.Body),
			len(answer.Header[dialect.Parts]), answer.Header.Get(dialect.MissingParts), answer.Took.Round(time.Millisecond))
	}
	return nil
}

// ask repeats a request until it is answered with the status.
func (s *platformStage) ask(ctx context.Context, path string, status int) (platformtest.Answer, error) {
	for attempt := 0; ; attempt++ {
		answer, err := s.client.Do(ctx, http.MethodGet, platformHost, path, fmt.Sprintf("%s-%d", path, attempt), "", time.Second)
		if err == nil && answer.Status == status {
			return answer, nil
		}
		if ctx.Err() != nil {
			return answer, errors.Errorf("answered %d, wanted %d", answer.Status, status)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
