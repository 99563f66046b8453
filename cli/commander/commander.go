// Package commander implements the operators' command line.
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

// Exit statuses, on which scripts may rely.
const (
	ExitOK = 0
	// ExitFailed means any other failure, such as when nothing was done, no control member could be reached,
	// or a change is not in force within the limit of --wait.
	ExitFailed = 1
	// ExitRefused means that the input is invalid or a watched move is taken back; the reasons are
	// printed.
	ExitRefused = 2
	// ExitConflict means that the revision does not follow the one in force, such as when another
	// operator's text was accepted first.
	ExitConflict = 3
	// ExitUnknown means that the text may have been accepted; submit the same text again.
	ExitUnknown = 4
)

// callTimeout bounds one call to a control member.
const callTimeout = 8 * time.Second

// Environment variables: the default of --control, and the operator's token.
const (
	controlVariable = "FILBERTHOIST_CONTROL"
	tokenVariable   = "FILBERTHOIST_TOKEN"
)

// Config sets the outputs of a Commander.
type Config struct {
	Out io.Writer
	Err io.Writer
}

// Commander executes command lines. It holds the values of the flags that all commands
// share.
type Commander struct {
	config           Config
	controlAddresses string
	outputFormat     string
	tls              connector.Config
}

// ExitError is an error with the exit status that it causes.
type ExitError struct {
	Status  int
	Message string
}

// Error returns the message.
func (e ExitError) Error() string { return e.Message }

// NewCommander returns a Commander.
func NewCommander(c Config) *Commander {
	return &Commander{config: c}
}

// Run executes a command line and returns the exit status.
func (c *Commander) Run(arguments []string) int {
	root := c.rootCommand()
	root.SetArgs(arguments)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(c.config.Err, err)
	var s ExitError
	if errors.As(err, &s) {
		return s.Status
	}
	return ExitFailed
}

func (c *Commander) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "filberthoist",
		Short:         "Operates a filberthoist deployment",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(c.config.Out)
	root.SetErr(c.config.Err)
	f := root.PersistentFlags()
	f.StringVar(&c.controlAddresses, "control", os.Getenv(controlVariable),
		"administration addresses of control members, comma-separated (or $"+controlVariable+")")
	f.StringVar(&c.outputFormat, "output", "text", "output format: text or json")
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
		c.explainCommand(),
		c.eventsCommand(),
	)
	return root
}

// callAny calls control members in turn until one succeeds, or fails with an error for which
// shouldTryNext is false.
func (c *Commander) callAny(call func(context.Context, wireconnect.AdministrationServiceClient) error) error {
	if c.controlAddresses == "" {
		return errors.New("no control member is given; use --control ADDRESS[,ADDRESS...] or set " + controlVariable)
	}
	n, err := connector.NewConnector(c.tls)
	if err != nil {
		return err
	}
	var lastErr error
	for address := range strings.SplitSeq(c.controlAddresses, ",") {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		client := wireconnect.NewAdministrationServiceClient(n.Client(), n.URL(strings.TrimSpace(address)), withToken())
		lastErr = call(ctx, client)
		cancel()
		if !shouldTryNext(lastErr) {
			return lastErr
		}
	}
	return errors.Wrap(lastErr, "no control member could answer; last error")
}

// shouldTryNext reports whether another control member may succeed after an error.
func shouldTryNext(err error) bool {
	code := connect.CodeOf(err)
	return err != nil && (code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded || code == connect.CodeCanceled)
}

// withToken sends the operator's token, if one is set, with each call.
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

// dumpTimeout bounds the request for a dump.
const dumpTimeout = 5 * time.Second

func (c *Commander) dumpCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "dump ADDRESS [PART]",
		Short:   "Print the state of one process from its report listener",
		Example: "  filberthoist dump 127.0.0.1:17203\n  filberthoist dump 127.0.0.1:17203 pools",
		Args:    cobra.RangeArgs(1, 2),
		RunE: func(_ *cobra.Command, a []string) error {
			return c.printDump(a[0], strings.Join(a[1:], ""))
		},
	}
}

func (c *Commander) printDump(address, part string) error {
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
		return errors.Errorf("%s responded with %s; without PART the dump has all parts", address, r.Status)
	}
	_, err = io.Copy(c.config.Out, r.Body)
	return err
}
