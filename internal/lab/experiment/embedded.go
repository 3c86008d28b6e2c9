package experiment

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// EmbeddedLauncher runs stand-ins and nodes in this process.
type EmbeddedLauncher struct {
	Logger hclog.Logger
}

// Launch implements Launcher.
func (l *EmbeddedLauncher) Launch(context.Context, Setting) (Environment, error) {
	return nil, errors.New("embedded nodes are not built yet")
}
