package commander

import (
	"context"
	"encoding/json"
	"fmt"
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

// Times of apply --wait.
const (
	waitPoll     = 200 * time.Millisecond
	defaultLimit = 30 * time.Second
)

func (c *Commander) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Judge a text without submitting it",
		Example: "  filberthoist check examples/nilebeam.text.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, a []string) error {
			_, err := c.readText(a[0])
			if err != nil {
				return err
			}
			fmt.Fprintln(c.config.Out, "the text is good")
			return nil
		},
	}
}

// readText reads a file and refuses it with every problem.
func (c *Commander) readText(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "reading the text")
	}
	if _, problems := parser.Parse(string(b)); len(problems) > 0 {
		return "", StatusError{StatusRefused, problems.Error()}
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
			"Exit status: 0 accepted, 1 nobody answered and nothing was done, 2 refused, 3 conflict, 4 unknown (send it again).",
		Example: "  filberthoist apply text.ini --wait",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, a []string) error {
			text, err := c.readText(a[0])
			if err != nil {
				return err
			}
			return c.submit(text, wait, limit)
		},
	}
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the text is in force on every entry")
	cmd.Flags().DurationVar(&limit, "limit", defaultLimit, "how long to wait at most")
	return cmd
}

func (c *Commander) submit(text string, wait bool, limit time.Duration) error {
	var answer *wire.SubmitResponse
	err := c.each(func(ctx context.Context, s wireconnect.AdministrationServiceClient) error {
		r, err := s.Submit(ctx, connect.NewRequest(&wire.SubmitRequest{Text: text}))
		if err == nil {
			answer = r.Msg
		}
		return err
	})
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		return StatusError{StatusUnknown, "unknown: the answer was lost; send the same text again"}
	}
	if err != nil {
		return err
	}
	if err := c.reportSubmit(answer); err != nil || !wait {
		return err
	}
	return c.waitInForce(answer, limit)
}

func (c *Commander) reportSubmit(r *wire.SubmitResponse) error {
	if c.output == "json" {
		c.printJSON(r)
	}
	switch r.GetResult() {
	case wire.SubmitResult_SUBMIT_RESULT_ACCEPTED:
		c.say("accepted: revision %d at index %d", r.GetRevision(), r.GetIndex())
		return nil
	case wire.SubmitResult_SUBMIT_RESULT_CONFLICT:
		w := r.GetWinner()
		return StatusError{StatusConflict, fmt.Sprintf(
			"conflict: revision %d by %s stands (digest %.12s); fetch it, bring your change over and raise the revision to %d",
			w.GetRevision(), w.GetOperator(), w.GetDigest(), r.GetHead()+1)}
	case wire.SubmitResult_SUBMIT_RESULT_REFUSED:
		return StatusError{StatusRefused, "refused:\n" + strings.Join(r.GetReasons(), "\n")}
	}
	return StatusError{StatusUnknown, "unknown: " + strings.Join(r.GetReasons(), "; ") + "; send the same text again"}
}

func (c *Commander) waitInForce(r *wire.SubmitResponse, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(waitPoll) {
		s, err := c.status()
		if err != nil || s.GetInForceIndex() < r.GetIndex() {
			continue
		}
		c.say("in force: revision %d on every entry", r.GetRevision())
		return nil
	}
	return StatusError{StatusFailed, "accepted, but not in force everywhere yet; see 'filberthoist status'"}
}

func (c *Commander) fetchCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "fetch",
		Short:   "Print the text in force",
		Example: "  filberthoist fetch > text.ini",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := c.fetch()
			if err != nil {
				return err
			}
			fmt.Fprint(c.config.Out, r.GetText())
			return nil
		},
	}
}

func (c *Commander) fetch() (*wire.FetchResponse, error) {
	var out *wire.FetchResponse
	err := c.each(func(ctx context.Context, s wireconnect.AdministrationServiceClient) error {
		r, err := s.Fetch(ctx, connect.NewRequest(&wire.FetchRequest{}))
		if err == nil {
			out = r.Msg
		}
		return err
	})
	return out, err
}

// say prints a line for people; scripts that asked for JSON get none.
func (c *Commander) say(format string, a ...any) {
	if c.output != "json" {
		fmt.Fprintf(c.config.Out, format+"\n", a...)
	}
}

func (c *Commander) printJSON(v any) {
	e := json.NewEncoder(c.config.Out)
	e.SetIndent("", "  ")
	_ = e.Encode(v) // the reader has gone
}
