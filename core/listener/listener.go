// Package listener serves HTTP on one address of a process and drains on request.
package listener

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/logger"
)

// Config sets up a Listener.
type Config struct {
	Name    string
	Address string
	Server  *http.Server
	// Serve and Shutdown replace Server for other ways to serve.
	Serve    func(net.Listener) error
	Shutdown func(context.Context) error
	// Connector adds TLS; nil serves plain HTTP.
	Connector *connector.Connector
	Logger    logger.Logger
	// Failed is told when serving ends for another reason than Stop.
	Failed func(error)
}

// Listener is one open address.
type Listener struct {
	config Config
	socket net.Listener
	done   chan struct{}
}

// NewListener opens the address and does not serve yet.
func NewListener(c Config) (*Listener, error) {
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "opening the %s listener", c.Name)
	}
	return &Listener{config: c, socket: l, done: make(chan struct{})}, nil
}

// Address returns the address that is open, with its port.
func (l *Listener) Address() string {
	return l.socket.Addr().String()
}

// Start begins to serve.
func (l *Listener) Start() {
	go l.run()
}

// Stop takes no new connection and waits for requests under way, until the context ends.
func (l *Listener) Stop(ctx context.Context) error {
	err := l.shutdown(ctx)
	<-l.done
	return errors.Wrapf(err, "draining the %s listener", l.config.Name)
}

// StopWithin is Stop with a time instead of a context.
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
		_ = l.config.Server.Close() // what is left is cut
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
