package commander

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
)

// leaderless is a control member that knows no leader.
type leaderless struct {
	wireconnect.UnimplementedAdministrationServiceHandler
}

// Submit does nothing and says so.
func (leaderless) Submit(context.Context, *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error) {
	return nil, connect.NewError(connect.CodeUnavailable, errors.New("no leader is known; nothing was done"))
}

// TestLostSubmit guards against an operator who is told that nothing was done, although a control member
// read the text and its answer was lost.
func TestLostSubmit(t *testing.T) {
	is := is.New(t)
	cutting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer cutting.Close()
	_, handler := wireconnect.NewAdministrationServiceHandler(leaderless{})
	answering := httptest.NewServer(handler)
	defer answering.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	cut, refused, stopped := cutting.Listener.Addr().String(), answering.Listener.Addr().String(), l.Addr().String()
	path := filepath.Join(t.TempDir(), "text.ini")
	is.NoErr(os.WriteFile(path, []byte("[configuration]\ndeployment = lamps\nrevision = 1\n"), 0o600))
	cases := []struct {
		name    string
		members []string
		status  int
	}{
		{"cut", []string{cut}, ExitUnknown},
		{"cut, then nobody answers", []string{cut, stopped}, ExitUnknown},
		{"cut, then nothing is done", []string{cut, refused}, ExitUnknown},
		{"nothing is done", []string{refused}, ExitFailed},
		{"nobody answers", []string{stopped, stopped}, ExitFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var b bytes.Buffer
			status := NewCommander(Config{Out: &b, Err: &b}).Run([]string{"apply", path, "--control", strings.Join(c.members, ",")})
			t.Log(b.String())
			is.Equal(status, c.status)
		})
	}
}
