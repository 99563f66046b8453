package entry

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/listener"
)

// TestLeaveWithoutControl guards against requests that are cut off at the end of the grace period since
// the time that the entry waited for control came on top of the time to leave.
func TestLeaveWithoutControl(t *testing.T) {
	is := is.New(t)
	limit := 5 * leavePollInterval
	begun := time.Now()
	waitToLeave(func() bool { return false }, time.Minute, limit)
	took := time.Since(begun)
	is.True(took >= limit)
	is.True(took < leaveTimeout)
}

// TestListenersStopTogether guards against a process that is killed at the end of the grace period: each
// of its listeners waits for connections on which nothing was sent, one listener after the other.
func TestListenersStopTogether(t *testing.T) {
	is := is.New(t)
	var list []*listener.Listener
	for range 3 {
		l, err := listener.NewListener(listener.Config{Address: "127.0.0.1:0", Server: &http.Server{Handler: http.NotFoundHandler()}})
		is.NoErr(err)
		l.Start()
		list = append(list, l)
		c, err := net.Dial("tcp", l.Address())
		is.NoErr(err)
		defer c.Close()
	}
	time.Sleep(100 * time.Millisecond) // the servers accept the connections
	const timeout = 500 * time.Millisecond
	begun := time.Now()
	stopListeners(list, timeout)
	is.True(time.Since(begun) >= timeout)
	is.True(time.Since(begun) < 2*timeout)
}
