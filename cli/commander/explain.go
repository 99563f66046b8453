package commander

import (
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/filberthoist/filberthoist/core/connector"
)

// explainFlags are the flags of the command explain, which are also the parameters of its call.
var explainFlags = []struct{ name, usage string }{
	{"method", "method of the request (default GET)"},
	{"host", "host name of the request"},
	{"team", "team of the caller; needed on routes that need a key"},
	{"object", "object that the request is about"},
	{"id", "ID of the request, which orders the targets if there is no object"},
	{"region", "region of the caller, to list the entries that it is given"},
	{"zone", "availability zone of the caller, to list the entries that it is given"},
	{"timeout", "how long the caller waits, such as 1500ms (default: the route's timeout)"},
}

func (c *Commander) explainCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "explain ADDRESS PATH",
		Short: "Show where an entry would send a request now and why, without sending it",
		Long: "Show where an entry would send a request now and why, without sending it.\n\n" +
			"ADDRESS is the entry's report listener. Exit status: 0 answered, 2 the question is invalid, 1 nobody answered.",
		Example: "  filberthoist explain 127.0.0.1:17203 /lamps/7 --team landlords --object lamp-7\n" +
			"  filberthoist explain 127.0.0.1:17203 /charges/ --method POST --team landlords --output json",
		Args: cobra.ExactArgs(2),
	}
	values := make([]string, len(explainFlags))
	for i, f := range explainFlags {
		command.Flags().StringVar(&values[i], f.name, "", f.usage)
	}
	command.RunE = func(_ *cobra.Command, a []string) error {
		q := url.Values{"path": {a[1]}, "format": {c.outputFormat}}
		for i, f := range explainFlags {
			if values[i] != "" {
				q.Set(f.name, values[i])
			}
		}
		return c.printExplanation(a[0], q)
	}
	return command
}

// explainTimeout bounds the call for an explanation.
const explainTimeout = 5 * time.Second

// maxErrorBytes bounds the error of an entry that is printed.
const maxErrorBytes = 4 << 10

func (c *Commander) printExplanation(address string, q url.Values) error {
	n, err := connector.NewConnector(c.tls)
	if err != nil {
		return err
	}
	client := n.Client()
	client.Timeout = explainTimeout
	r, err := client.Get(n.URL(address) + "/explain?" + q.Encode())
	if err != nil {
		return err
	}
	defer r.Body.Close()
	switch r.StatusCode {
	case http.StatusOK:
		_, err = io.Copy(c.config.Out, r.Body)
		return err
	case http.StatusBadRequest:
		text, err := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes))
		if err != nil {
			return err
		}
		return ExitError{ExitRefused, strings.TrimSpace(string(text))}
	case http.StatusNotFound:
		return errors.Errorf("%s is no entry's report listener, or one of an earlier version", address)
	}
	return errors.Errorf("%s responded with %s", address, r.Status)
}
