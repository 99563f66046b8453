package commander

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
)

func (c *Commander) membersCommand() *cobra.Command {
	members := &cobra.Command{Use: "members", Short: "Bootstrap, list and replace the control members"}
	members.AddCommand(c.bootstrapMembersCommand(), c.listMembersCommand(), c.replaceMemberCommand())
	return members
}

func (c *Commander) bootstrapMembersCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "bootstrap",
		Short:   "Bootstrap a new deployment from the first control member given and its peers; works only once",
		Example: "  filberthoist members bootstrap --control 127.0.0.1:17102",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var out *wire.BootstrapResponse
			c.controlAddresses, _, _ = strings.Cut(c.controlAddresses, ",") // only one member bootstraps the deployment
			err := c.callAny(func(_ context.Context, s wireconnect.AdministrationServiceClient) error {
				ctx, cancel := context.WithTimeout(context.Background(), bootstrapTimeout)
				defer cancel()
				r, err := s.Bootstrap(ctx, connect.NewRequest(&wire.BootstrapRequest{}))
				if err == nil {
					out = r.Msg
				}
				return err
			})
			if err != nil {
				return err
			}
			c.printMembers(out.GetMembers())
			return nil
		},
	}
}

// bootstrapTimeout bounds the bootstrap of a deployment.
const bootstrapTimeout = 25 * time.Second

func (c *Commander) listMembersCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the control members",
		Example: "  filberthoist members list",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := c.fetchStatus()
			if err != nil {
				return err
			}
			c.printMembers(s.GetMembers())
			return nil
		},
	}
}

func (c *Commander) replaceMemberCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "replace NAME ADDRESS",
		Short: "Replace a control member after the loss of its disk with the process at a peer address",
		Long: "Replace a control member after the loss of its disk with the process at a peer address.\n" +
			"The process must have been started with an empty data folder. It catches up as a learner,\n" +
			"becomes a voter, and the old member is removed; 'members list' shows the progress.",
		Example: "  filberthoist members replace control2 10.0.0.2:7100",
		Args:    cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, a []string) error {
			return c.callAny(func(ctx context.Context, s wireconnect.AdministrationServiceClient) error {
				r, err := s.ReplaceMember(ctx, connect.NewRequest(&wire.ReplaceMemberRequest{Name: a[0], Address: a[1]}))
				if err == nil {
					c.printLine("%s at %s is catching up as a learner", r.Msg.GetLearner().GetName(), a[1])
				}
				return err
			})
		},
	}
}

func (c *Commander) printMembers(list []*wire.ControlMember) {
	if c.outputFormat == "json" {
		c.printJSON(list)
		return
	}
	for _, m := range list {
		fmt.Fprintf(c.config.Out, "%-12s %-22s %016x %s\n", m.GetName(), m.GetAddress(), m.GetId(), memberState(m))
	}
}
