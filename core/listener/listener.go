// Package listener serves HTTP on one address of a process, with graceful shutdown.
package listener

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/reserver"
)

// Config configures a Listener.
type Config struct {
	Name    string
	Address string
	Server  *http.Server
	// Serve and Shutdown are used instead of the methods of Server if they are set.
	Serve    func(net.Listener) error
	Shutdown func(context.Context) error
	// Seats bound the connections of Server; nil means no bound.
	Seats *reserver.Seats
	// Connector adds TLS; nil serves plain HTTP.
	Connector *connector.Connector
	Logger    logger.Logger
	// Failed is called with the error if serving ends for a reason other than Stop.
	Failed func(error)
}

// Listener serves on one address.
type Listener struct {
	config Config
	socket net.Listener
	done   chan struct{}
}

// NewListener opens the address. Start begins to serve on it.
func NewListener(c Config) (*Listener, error) {
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "opening the %s listener", c.Name)
	}
	if c.Seats != nil && c.Server != nil {
		l = seatedSocket{l, c.Seats}
		c.Server.ConnContext, c.Server.Handler = withSeat, seatedHandler{c.Server.Handler}
	}
	return &Listener{config: c, socket: l, done: make(chan struct{})}, nil
}

// Address returns the address that is open, with the actual port.
func (l *Listener) Address() string {
	return l.socket.Addr().String()
}

// Start begins to serve in a goroutine.
func (l *Listener) Start() {
	go l.run()
}

// Stop accepts no new connections and waits until requests in progress have finished or the
// context ends.
func (l *Listener) Stop(ctx context.Context) error {
	err := l.shutdown(ctx)
	<-l.done
	return errors.Wrapf(err, "draining the %s listener", l.config.Name)
}

// StopWithin is Stop with a timeout instead of a context.
func (l *Listener) StopWithin(d time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return l.Stop(ctx)
}

func (l *Listener) run() {
	defer close(l.done)
	err := l.serve()
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return
	}
	l.config.Logger.Log(logger.ListenerFailed, logger.F("listener", l.config.Name), logger.F("error", err))
	l.config.Failed(err)
}

func (l *Listener) shutdown(ctx context.Context) error {
	if l.config.Shutdown != nil {
		return l.config.Shutdown(ctx)
	}
	err := l.config.Server.Shutdown(ctx)
	if err != nil {
		_ = l.config.Server.Close() // closes the connections that are still open
	}
	return err
}

func (l *Listener) serve() error {
	if l.config.Serve != nil {
		return l.config.Serve(l.socket)
	}
	if l.config.Connector == nil {
		return l.config.Server.Serve(l.socket)
	}
	return l.config.Connector.Serve(l.config.Server, l.socket)
}
