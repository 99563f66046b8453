// Package commander is the operators' command line.
package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
)

// Exit statuses that scripts can rely on.
const (
	StatusOK = 0
	// StatusFailed means that nothing was done, or that nobody answered.
	StatusFailed = 1
	// StatusRefused means that the input is wrong; the reasons are printed.
	StatusRefused = 2
	// StatusConflict means that another text stands under the same revision.
	StatusConflict = 3
	// StatusUnknown means that the submit may have been accepted; send it again.
	StatusUnknown = 4
)

// callTimeout bounds one call to a control member.
const callTimeout = 8 * time.Second

// Environment variables that stand in for flags.
const (
	controlVariable = "FILBERTHOIST_CONTROL"
	tokenVariable   = "FILBERTHOIST_TOKEN"
)

// Config tells where a Commander writes.
type Config struct {
	Out io.Writer
	Err io.Writer
}

// Commander holds what all commands share.
type Commander struct {
	config   Config
	controls string
	output   string
	tls      connector.Config
}

// StatusError is an error with the exit status that it leads to.
type StatusError struct {
	Status int
	Text   string
}

// Error returns the text.
func (e StatusError) Error() string { return e.Text }

// NewCommander returns a Commander.
func NewCommander(c Config) *Commander {
	return &Commander{config: c}
}

// Run executes a command line and returns the exit status.
func (c *Commander) Run(arguments []string) int {
	root := c.root()
	root.SetArgs(arguments)
	err := root.Execute()
	if err == nil {
		return StatusOK
	}
	fmt.Fprintln(c.config.Err, err)
	var s StatusError
	if errors.As(err, &s) {
		return s.Status
	}
	return StatusFailed
}

func (c *Commander) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "filberthoist",
		Short:         "Operates a filberthoist deployment",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(c.config.Out)
	root.SetErr(c.config.Err)
	f := root.PersistentFlags()
	f.StringVar(&c.controls, "control", os.Getenv(controlVariable),
		"administration addresses of control members, comma-separated (or $"+controlVariable+")")
	f.StringVar(&c.output, "output", "text", "text or json")
	f.StringVar(&c.tls.Certificate, "certificate", "", "client certificate (PEM), for TLS")
	f.StringVar(&c.tls.Key, "key", "", "key of the client certificate (PEM)")
	f.StringVar(&c.tls.Authority, "authority", "", "certificate authority (PEM)")
	root.AddCommand(
		c.checkCommand(),
		c.applyCommand(),
		c.fetchCommand(),
		c.statusCommand(),
		c.keysCommand(),
		c.movesCommand(),
		c.membersCommand(),
		c.dumpCommand(),
		c.eventsCommand(),
	)
	return root
}

// each calls control members in turn until one answers.
func (c *Commander) each(call func(context.Context, wireconnect.AdministrationServiceClient) error) error {
	if c.controls == "" {
		return errors.New("no control member is named; use --control ADDRESS[,ADDRESS...] or set " + controlVariable)
	}
	n, err := connector.NewConnector(c.tls)
	if err != nil {
		return err
	}
	var last error
	for address := range strings.SplitSeq(c.controls, ",") {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		client := wireconnect.NewAdministrationServiceClient(n.Client(), n.URL(strings.TrimSpace(address)), withToken())
		last = call(ctx, client)
		cancel()
		if !passedBy(last) {
			return last
		}
	}
	return errors.Wrap(last, "no control member could answer; the last said")
}

// passedBy tells whether another control member may do better.
func passedBy(err error) bool {
	code := connect.CodeOf(err)
	return err != nil && (code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded || code == connect.CodeCanceled)
}

// withToken sends the operator's token with each call.
func withToken() connect.ClientOption {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if t := os.Getenv(tokenVariable); t != "" {
				r.Header().Set("Authorization", "Bearer "+t)
			}
			return next(ctx, r)
		}
	}))
}

// dumpTimeout bounds the fetch of a dump.
const dumpTimeout = 5 * time.Second

func (c *Commander) dumpCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "dump ADDRESS [PART]",
		Short:   "Print the state of one process from its report listener",
		Example: "  filberthoist dump 127.0.0.1:17203\n  filberthoist dump 127.0.0.1:17203 pools",
		Args:    cobra.RangeArgs(1, 2),
		RunE: func(_ *cobra.Command, a []string) error {
			return c.dump(a[0], strings.Join(a[1:], ""))
		},
	}
}

func (c *Commander) dump(address, part string) error {
	n, err := connector.NewConnector(c.tls)
	if err != nil {
		return err
	}
	client := n.Client()
	client.Timeout = dumpTimeout
	path := "/dump"
	if part != "" {
		path += "/" + part
	}
	r, err := client.Get(n.URL(address) + path)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return errors.Errorf("%s answers %s; without PART the dump shows which parts there are", address, r.Status)
	}
	_, err = io.Copy(c.config.Out, r.Body)
	return err
}
