package connector

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/issuer"
	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
)

func TestTLS(t *testing.T) {
	t.Run("peer with the same authority connects", func(t *testing.T) {
		is := is.New(t)
		files := issue(t, t.TempDir(), newIssuer(t))
		is.NoErr(call(t, files, files))
	})
	t.Run("peer with another authority is refused", func(t *testing.T) {
		is := is.New(t)
		ours := issue(t, t.TempDir(), newIssuer(t))
		theirs := issue(t, t.TempDir(), newIssuer(t))
		is.True(call(t, ours, theirs) != nil)
	})
	t.Run("plain client is refused", func(t *testing.T) {
		is := is.New(t)
		files := issue(t, t.TempDir(), newIssuer(t))
		is.True(call(t, files, Config{}) != nil)
	})
	t.Run("changed files are loaded without a restart", func(t *testing.T) {
		is := is.New(t)
		folder := t.TempDir()
		files := issue(t, folder, newIssuer(t))
		c, err := NewConnector(files)
		is.NoErr(err)
		before, _ := c.reloader.certificates()
		issue(t, folder, newIssuer(t))
		later := time.Now().Add(time.Minute)
		is.NoErr(os.Chtimes(files.Certificate, later, later))
		c.reloader.lastCheck = time.Time{}
		after, _ := c.reloader.certificates()
		is.True(string(before.Certificate[0]) != string(after.Certificate[0]))
	})
}

// TestInvalidStatus guards against a call that believes the error in a response with a status that no response may have.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "+20"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_, _ = http.ReadRequest(bufio.NewReader(c))
				body := `{"code":"failed_precondition"}`
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
			}()
			n, err := NewConnector(Config{})
			is.NoErr(err)
			_, err = wireconnect.NewAdministrationServiceClient(n.Client(), n.URL(l.Addr().String())).Read(context.Background(), connect.NewRequest(&wire.ReadRequest{}))
			is.True(err != nil)
			is.True(connect.CodeOf(err) != connect.CodeFailedPrecondition)
		})
	}
}

func TestReadConfig(t *testing.T) {
	cases := []struct {
		name, text, address string
		good                bool
	}{
		{"plain on loopback", "", "127.0.0.1:7000", true},
		{"plain beyond loopback", "", "10.0.0.1:7000", false},
		{"one of the three files", "[tls]\nkey = k\n", "10.0.0.1:7000", false},
		{"all three files", "[tls]\nkey = k\ncertificate = c\nauthority = a\n", "10.0.0.1:7000", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := loader.Parse([]byte(c.text))
			ReadConfig(s, map[string]string{"peer": c.address})
			is.Equal(s.Err() == nil, c.good)
		})
	}
}

func call(t *testing.T, server, client Config) error {
	t.Helper()
	is := is.New(t)
	c, err := NewConnector(server)
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := c.Server(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.ErrorLog = nil
	go func() { _ = c.Serve(s, l) }()
	defer s.Close()
	d, err := NewConnector(client)
	is.NoErr(err)
	r, err := d.Client().Get(d.URL(l.Addr().String()))
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return io.ErrUnexpectedEOF
	}
	return nil
}

func newIssuer(t *testing.T) *issuer.Issuer {
	t.Helper()
	i, err := issuer.NewIssuer()
	if err != nil {
		t.Fatal(err)
	}
	return i
}

func issue(t *testing.T, folder string, i *issuer.Issuer) Config {
	t.Helper()
	f, err := i.Issue(folder)
	if err != nil {
		t.Fatal(err)
	}
	return Config{Certificate: f.Certificate, Key: f.Key, Authority: f.Authority}
}
