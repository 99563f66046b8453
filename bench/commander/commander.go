// Package commander implements the command line of the bench.
package commander

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/filberthoist/filberthoist/bench/experimenter"
	"github.com/filberthoist/filberthoist/bench/faker"
	"github.com/filberthoist/filberthoist/bench/generator"
	"github.com/filberthoist/filberthoist/core/parser"
)

// headerTimeout bounds the time to read the headers of a request at a fake upstream.
const headerTimeout = 5 * time.Second

// NewCommand returns the root command of the bench, which writes its results to out.
func NewCommand(out io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:           "filberthoist-bench",
		Short:         "Fake upstreams, load and experiments",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(out)
	root.AddCommand(upstreamsCommand(), loadCommand(out), experimentCommand(out))
	return root
}

func upstreamsCommand() *cobra.Command {
	var textPath string
	var serviceTime time.Duration
	cmd := &cobra.Command{
		Use:     "upstreams",
		Short:   "Serve every target of a text as a fake upstream, until interrupted",
		Example: "  filberthoist-bench upstreams --text examples/demo/text.ini --service-time 10ms",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return serveUpstreams(textPath, serviceTime)
		},
	}
	cmd.Flags().StringVar(&textPath, "text", "", "the operators' text")
	cmd.Flags().DurationVar(&serviceTime, "service-time", 10*time.Millisecond, "time that a request takes")
	_ = cmd.MarkFlagRequired("text") // the flag exists
	return cmd
}

func serveUpstreams(path string, serviceTime time.Duration) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "reading the text")
	}
	c, problems := parser.Parse(string(b))
	if c == nil {
		return problems
	}
	serveErrors := make(chan error, len(c.Targets))
	for _, t := range c.Targets {
		l, err := net.Listen("tcp", t.Address)
		if err != nil {
			return errors.Wrapf(err, "target %s", t.Name)
		}
		f := faker.NewFake(faker.Config{Name: t.Name, Slots: t.Slots, ServiceTime: serviceTime})
		s := &http.Server{Handler: f.Handler(), ReadHeaderTimeout: headerTimeout}
		go func() { serveErrors <- s.Serve(l) }()
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case <-stop:
		return nil
	case err := <-serveErrors:
		return err
	}
}

func loadCommand(out io.Writer) *cobra.Command {
	var c generator.Config
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send requests at a steady rate and check every answer",
		Example: "  filberthoist-bench load --lookup 127.0.0.1:17200 --service lampViewing --path /lamps/7 --key KEY --rate 100 --duration 5s\n" +
			"  filberthoist-bench load --direct 127.0.0.1:17400 --path /lamps/7 --rate 100 --duration 5s",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			g, err := generator.NewGenerator(c)
			if err != nil {
				return err
			}
			ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
			defer cancel()
			r := g.Run(ctx)
			r.Print(out)
			if r.Mismatched > 0 {
				return errors.Errorf("%d responses did not belong to their requests", r.Mismatched)
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&c.LookupAddresses, "lookup", nil, "addresses of entries to ask which entries to use")
	f.StringVar(&c.Service, "service", "", "service to look up")
	f.StringVar(&c.DirectAddress, "direct", "", "address of an upstream to call without the system")
	f.StringVar(&c.Method, "method", http.MethodGet, "method")
	f.StringVar(&c.Path, "path", "/", "path")
	f.StringVar(&c.Key, "key", "", "the caller's key")
	f.StringVar(&c.Body, "body", "", "body of each request")
	f.Float64Var(&c.Rate, "rate", 100, "requests per second")
	f.DurationVar(&c.Duration, "duration", 5*time.Second, "length of the load")
	f.Uint64Var(&c.Seed, "seed", 1, "seed of the choices")
	return cmd
}

func experimentCommand(out io.Writer) *cobra.Command {
	c := experimenter.Config{Out: out}
	cmd := &cobra.Command{
		Use:     "experiment " + strings.Join(append(experimenter.Names(), experimenter.All), "|"),
		Short:   "Measure decisions against their targets and a plain baseline",
		Example: "  go run ./bench experiment limits",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, a []string) error {
			return experimenter.Run(c, a[0])
		},
	}
	cmd.Flags().Uint64Var(&c.Seed, "seed", 1, "seed of demands and faults")
	cmd.Flags().StringVar(&c.Folder, "folder", "out", "where tables and plots go")
	return cmd
}
