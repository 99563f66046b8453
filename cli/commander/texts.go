package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
)

// Poll interval and default limit of --wait.
const (
	waitInterval     = 200 * time.Millisecond
	defaultWaitLimit = 30 * time.Second
)

func (c *Commander) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Validate a text without submitting it",
		Example: "  filberthoist check examples/nilebeam.text.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, a []string) error {
			_, err := c.readText(a[0])
			if err != nil {
				return err
			}
			fmt.Fprintln(c.config.Out, "the text is valid")
			return nil
		},
	}
}

// readText reads and validates a text. Its error lists every problem.
func (c *Commander) readText(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "reading the text")
	}
	if _, problems := parser.Parse(string(b)); len(problems) > 0 {
		return "", ExitError{ExitRefused, problems.Error()}
	}
	return string(b), nil
}

func (c *Commander) applyCommand() *cobra.Command {
	var wait bool
	var limit time.Duration
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Submit a text; its revision must follow the one in force",
		Long: "Submit a text; its revision must follow the one in force.\n\n" +
			"Exit status: 0 accepted, 1 nobody could be reached and nothing was done, 2 refused, 3 conflict, 4 unknown (send it again).",
		Example: "  filberthoist apply text.ini --wait",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, a []string) error {
			text, err := c.readText(a[0])
			if err != nil {
				return err
			}
			return c.submitText(text, wait, limit)
		},
	}
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the text is in force on every entry")
	cmd.Flags().DurationVar(&limit, "limit", defaultWaitLimit, "maximum time to wait")
	return cmd
}

func (c *Commander) submitText(text string, wait bool, limit time.Duration) error {
	var response *wire.SubmitResponse
	arrived := false
	err := c.callAny(func(ctx context.Context, s wireconnect.AdministrationServiceClient) error {
		r, err := s.Submit(ctx, connect.NewRequest(&wire.SubmitRequest{Text: text}))
		if err == nil {
			response = r.Msg
		}
		arrived = arrived || mayHaveArrived(err)
		return err
	})
	if err != nil && arrived {
		return ExitError{ExitUnknown, "unknown: the answer was lost; send the same text again"}
	}
	if err != nil {
		return err
	}
	if err := c.reportResult(response); err != nil || !wait {
		return err
	}
	return c.waitInForce(response, limit)
}

// mayHaveArrived reports whether a control member may have read a call that failed: it did not answer,
// but could be reached.
func mayHaveArrived(err error) bool {
	var n *net.OpError
	isDial := errors.As(err, &n) && n.Op == "dial"
	isLate := connect.CodeOf(err) == connect.CodeDeadlineExceeded
	return err != nil && (isLate || !isDial && !connect.IsWireError(err))
}

func (c *Commander) reportResult(r *wire.SubmitResponse) error {
	if c.outputFormat == "json" {
		c.printJSON(r)
	}
	switch r.GetResult() {
	case wire.SubmitResult_SUBMIT_RESULT_ACCEPTED:
		c.printLine("accepted: revision %d at index %d", r.GetRevision(), r.GetIndex())
		return nil
	case wire.SubmitResult_SUBMIT_RESULT_CONFLICT:
		w := r.GetWinner()
		return ExitError{ExitConflict, fmt.Sprintf(
			"conflict: revision %d by %s is accepted (digest %.12s); fetch it, merge your change and raise the revision to %d",
			w.GetRevision(), w.GetOperator(), w.GetDigest(), r.GetHead()+1)}
	case wire.SubmitResult_SUBMIT_RESULT_REFUSED:
		return ExitError{ExitRefused, "refused:\n" + strings.Join(r.GetReasons(), "\n")}
	}
	return ExitError{ExitUnknown, "unknown: " + strings.Join(r.GetReasons(), "; ") + "; send the same text again"}
}

func (c *Commander) waitInForce(r *wire.SubmitResponse, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(waitInterval) {
		s, err := c.fetchStatus()
		if err != nil || s.GetInForceIndex() < r.GetIndex() {
			continue
		}
		c.printLine("in force: revision %d on every entry", r.GetRevision())
		return nil
	}
	return ExitError{ExitFailed, "accepted, but not in force everywhere yet; see 'filberthoist status'"}
}

func (c *Commander) fetchCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "fetch",
		Short:   "Print the text in force",
		Example: "  filberthoist fetch > text.ini",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := c.fetchText()
			if err != nil {
				return err
			}
			fmt.Fprint(c.config.Out, r.GetText())
			return nil
		},
	}
}

func (c *Commander) fetchText() (*wire.FetchResponse, error) {
	var out *wire.FetchResponse
	err := c.callAny(func(ctx context.Context, s wireconnect.AdministrationServiceClient) error {
		r, err := s.Fetch(ctx, connect.NewRequest(&wire.FetchRequest{}))
		if err == nil {
			out = r.Msg
		}
		return err
	})
	return out, err
}

// printLine prints a line for people. It prints nothing if the output is JSON.
func (c *Commander) printLine(format string, a ...any) {
	if c.outputFormat != "json" {
		fmt.Fprintf(c.config.Out, format+"\n", a...)
	}
}

func (c *Commander) printJSON(v any) {
	e := json.NewEncoder(c.config.Out)
	e.SetIndent("", "  ")
	_ = e.Encode(v) // fails only if the output is closed
}
