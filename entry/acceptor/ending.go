package acceptor

import (
	"time"

	"github.com/filberthoist/filberthoist/core/logger"
)

// endCause tells why a connection ended before all of its responses were sent.
type endCause string

// Values of endCause.
const (
	// callerClosed means that the caller closed or reset the connection.
	callerClosed endCause = "callerClosed"
	// writeFailed means that the caller did not take the response within writeTimeout, or that the
	// connection failed.
	writeFailed endCause = "writeFailed"
	// seatLost means that the connection was closed for another one.
	seatLost endCause = "seatLost"
	// memoryLost means that the caller took its response too slowly while others needed the memory.
	memoryLost endCause = "memoryLost"
	// handlerAborted means that the handler ended a response partway.
	handlerAborted endCause = "handlerAborted"
	// shutdownEnded means that the time of the shutdown was over.
	shutdownEnded endCause = "shutdownEnded"
)

// logLost logs a request whose response was not sent as a whole. status is that of the response, or 0
// if there was none yet.
func (a *Acceptor) logLost(e *exchange) {
	c := e.connection
	cause := c.earlyEnd()
	a.config.Scope.Tagged(map[string]string{"cause": string(cause)}).Counter("responsesLost").Inc(1)
	a.config.Logger.Log(logger.ResponseLost, logger.F("request", e.id), logger.F("caller", c.socket.RemoteAddr().String()),
		logger.F("cause", string(cause)), logger.F("age", time.Since(e.begun).Round(time.Millisecond)), logger.F("status", e.status),
		logger.F("pipelined", e.previous != nil), logger.F("draining", a.draining.Load()))
}

// recordIdleClosed counts the close of a connection on which a request may be under way. Those that a
// shutdown closes are logged too; those that time out are many, and rarely used at that moment.
func (a *Acceptor) recordIdleClosed(c *connection) {
	a.idleClosed.Inc(1)
	if !a.draining.Load() {
		return
	}
	a.config.Logger.Log(logger.IdleClosed, logger.F("caller", c.socket.RemoteAddr().String()),
		logger.F("idle", c.idleTime().Round(time.Millisecond)), logger.F("partial", c.reader.Buffered()))
}

// logDiscarded logs input that was discarded. delay is the time from the decision to close the
// connection until the input was read. Callers send again what follows an announced end.
func (a *Acceptor) logDiscarded(c *connection, head []byte, size int64, delay time.Duration) {
	event, count := logger.InputDiscarded, a.discarded
	if c.isEnding() {
		event, count = logger.InputBehindEnd, a.discardedBehind
	}
	count.Inc(1)
	a.config.Logger.Log(event, logger.F("request", findHeader(head, a.config.RequestHeader)),
		logger.F("caller", c.socket.RemoteAddr().String()), logger.F("bytes", int(size)), logger.F("delay", delay),
		logger.F("draining", a.draining.Load()))
}
