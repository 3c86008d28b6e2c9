package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/standin/machinelist"
)

const (
	loopback      = "127.0.0.1:0"
	headerTimeout = 10 * time.Second
)

// httpListener is one HTTP server of a stand-in.
type httpListener struct {
	address string
	server  *http.Server
	cancel  context.CancelFunc
	served  chan struct{}
}

func listen(address string, handler http.Handler, logger hclog.Logger) (*httpListener, error) {
	if address == "" {
		address = loopback
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for stand-in")
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &httpListener{
		address: listener.Addr().String(),
		cancel:  cancel,
		served:  make(chan struct{}),
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			BaseContext:       func(net.Listener) context.Context { return ctx },
			ErrorLog:          logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		},
	}
	go func() {
		defer close(started.served)
		// It returns when the stand-in is closed.
		_ = started.server.Serve(listener)
	}()
	return started, nil
}

// stop cuts every connection and ends what waits in handlers.
func (l *httpListener) stop() {
	l.cancel()
	// It ends anyhow: an error tells nothing more.
	_ = l.server.Close()
	<-l.served
}

func (d *Deployment) startStore() error {
	if d.options.WithoutStore {
		return nil
	}
	listener, err := listen(d.options.StoreAddress, d.store, d.options.Logger.Named("store"))
	if err != nil {
		return err
	}
	d.listeners = append(d.listeners, listener)
	d.addresses.Store = "http://" + listener.address
	return nil
}

func (d *Deployment) startMachineList() error {
	if d.options.WithoutMachineList {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+machinelist.Path, d.machines)
	listener, err := listen(d.options.MachineListAddress, mux, d.options.Logger.Named("machinelist"))
	if err != nil {
		return err
	}
	d.listeners = append(d.listeners, listener)
	d.addresses.MachineList = "http://" + listener.address + machinelist.Path
	return nil
}

func (d *Deployment) startAdmin() error {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	d.admin.Register(router)
	d.store.RegisterAdmin(router)
	d.machines.RegisterAdmin(router)
	listener, err := listen(d.options.AdminAddress, router, d.options.Logger.Named("admin"))
	if err != nil {
		return err
	}
	d.listeners = append(d.listeners, listener)
	d.addresses.Admin = "http://" + listener.address
	return nil
}
