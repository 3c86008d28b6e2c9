package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/configstore/consul"
	"github.com/bramblemast/bramblemast/pkg/configsync"
	"github.com/bramblemast/bramblemast/pkg/publish"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// aloneWithoutStore is how long a node without a store looks for peers before
// it serves with the templates of its files alone.
const aloneWithoutStore = time.Second

// Connections to the platform's services that are kept while unused.
const (
	platformIdleConnections = 4
	platformIdleTimeout     = time.Minute
)

// configuration is the node's templates: what is published, and below that
// what the settings' files give. It implements serve.Templates.
type configuration struct {
	store     configstore.Store
	replica   *configsync.Replica
	publisher *publish.Publisher
	// files are the templates of the settings. They are immutable after start.
	files map[template.Key]*template.Compiled
}

func (n *Node) buildConfiguration() error {
	files, err := loadTemplates(n.settings.Templates.Files)
	if err != nil {
		return err
	}
	store, err := n.newStore()
	if err != nil {
		return err
	}
	built := &configuration{store: store, files: files}
	built.publisher, err = publish.New(publish.Options{
		Store:    built.store,
		Held:     func(key template.Key) (template.Published, bool) { return built.replica.Held(key) },
		Accepted: func(published template.Published) { built.replica.Announce(published) },
		Logger:   n.logger,
	})
	if err != nil {
		return err
	}
	built.replica, err = configsync.New(n.replicaOptions(built))
	if err != nil {
		return err
	}
	n.config = built
	return nil
}

func (n *Node) replicaOptions(built *configuration) configsync.Options {
	options := configsync.Options{
		Self: configsync.Peer{
			ID:      n.id,
			Address: n.transport.Address(),
			Zone:    n.settings.Node.Zone,
			Region:  n.settings.Node.Region,
			Alive:   true,
		},
		Peers:     func() []configsync.Peer { return ConfigPeers(n.members.Members()) },
		Transport: n.transport,
		Store:     built.store,
		Repairer:  built.publisher,
		Logger:    n.logger,
		Seed:      n.seed(),
	}
	if n.settings.Store.URL == "" {
		options.StandaloneAfter = aloneWithoutStore
	}
	return options
}

func (n *Node) newStore() (configstore.Store, error) {
	if n.settings.Store.URL == "" {
		return absentStore{}, nil
	}
	return consul.New(consul.Options{
		Address:     n.settings.Store.URL,
		CallTimeout: n.settings.Store.Timeout,
		Client:      n.platformClient(),
	})
}

// platformClient returns the HTTP client for one of the platform's services.
func (n *Node) platformClient() *http.Client {
	dialer := &net.Dialer{Timeout: n.settings.Store.Timeout}
	if n.settings.Node.SourceIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: n.settings.Node.SourceIP}
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: platformIdleConnections,
		IdleConnTimeout:     platformIdleTimeout,
	}}
}

// loadTemplates reads the template files of the settings. Their revision is
// zero, so that anything published replaces them.
func loadTemplates(paths []string) (map[template.Key]*template.Compiled, error) {
	files := make(map[template.Key]*template.Compiled, len(paths))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read template file")
		}
		parsed, err := template.Parse(text)
		if err != nil {
			return nil, errors.Wrapf(err, "template file %s", path)
		}
		compiled, err := template.Compile(parsed)
		if err != nil {
			return nil, errors.Wrapf(err, "template file %s", path)
		}
		files[parsed.Key()] = compiled
	}
	return files, nil
}

// Get implements serve.Templates.
func (c *configuration) Get(key template.Key) (*template.Compiled, bool) {
	if compiled, found := c.replica.Get(key); found {
		return compiled, true
	}
	if _, published := c.replica.Held(key); published {
		return nil, false // a tombstone stands above the file
	}
	compiled, found := c.files[key]
	return compiled, found
}

// Ready implements serve.Templates.
func (c *configuration) Ready() bool { return c.replica.Ready() }

func (c *configuration) run(ctx context.Context) error { return c.replica.Run(ctx) }

// absentStore stands for the store of a node that was given none.
type absentStore struct{}

var errNoStore = errors.WithMessage(configstore.ErrUnavailable, "this node has no configuration store")

// Get implements configstore.Store.
func (absentStore) Get(context.Context, string) (configstore.Entry, error) {
	return configstore.Entry{}, errNoStore
}

// List implements configstore.Store.
func (absentStore) List(context.Context, string) ([]configstore.Entry, uint64, error) {
	return nil, 0, errNoStore
}

// Watch implements configstore.Store.
func (absentStore) Watch(context.Context, string, uint64, time.Duration) ([]configstore.Entry, uint64, error) {
	return nil, 0, errNoStore
}

// CompareAndSwap implements configstore.Store.
func (absentStore) CompareAndSwap(context.Context, string, []byte, uint64) error { return errNoStore }

// CompareAndDelete implements configstore.Store.
func (absentStore) CompareAndDelete(context.Context, string, uint64) error { return errNoStore }
