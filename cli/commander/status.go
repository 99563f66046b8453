package commander

import (
	"context"
	"fmt"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
)

func (c *Commander) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show control members, entries, roles and what is in force",
		Example: "  filberthoist status\n  filberthoist status --output json",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := c.fetchStatus()
			if err != nil {
				return err
			}
			if c.outputFormat == "json" {
				c.printJSON(s)
				return nil
			}
			c.printStatus(s)
			if !s.GetQuorum() {
				return ExitError{ExitFailed, "no quorum: this status may be outdated, and no change can be accepted"}
			}
			return nil
		},
	}
}

func (c *Commander) fetchStatus() (*wire.StatusResponse, error) {
	var out *wire.StatusResponse
	err := c.callAny(func(ctx context.Context, s wireconnect.AdministrationServiceClient) error {
		r, err := s.Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
		if err == nil {
			out = r.Msg
		}
		return err
	})
	return out, err
}

func (c *Commander) printStatus(s *wire.StatusResponse) {
	w := tabwriter.NewWriter(c.config.Out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "leader\t%s\n", orNone(s.GetLeader()))
	fmt.Fprintf(w, "revision accepted\t%d\n", s.GetRevision())
	fmt.Fprintf(w, "index\t%d, in force up to %d\n", s.GetIndex(), s.GetInForceIndex())
	for _, m := range s.GetMembers() {
		fmt.Fprintf(w, "control\t%s\t%s\t%s\n", m.GetName(), m.GetAddress(), memberState(m))
	}
	for _, e := range s.GetEntries() {
		m := e.GetMember()
		fmt.Fprintf(w, "entry\t%s\t%s\t%s/%s\tindex %d\t%s\n", m.GetName(), m.GetAddress(), m.GetRegion(),
			m.GetAvailabilityZone(), e.GetApplied(), entryState(e))
	}
	for _, r := range s.GetRoles() {
		fmt.Fprintf(w, "role\t%s\t%s\tepoch %d\t%s\n", r.GetName(), r.GetHolder(), r.GetEpoch(), roleState(r))
	}
}

func memberState(m *wire.ControlMember) string {
	switch {
	case m.GetLearner():
		return "learner"
	case m.GetReplaces() != 0:
		return "voter, replacing another"
	}
	return "voter"
}

func entryState(e *wire.EntryStatus) string {
	if e.GetLeaseLapsed() {
		return fmt.Sprintf("silent for %.0f s", e.GetSecondsSincePoll())
	}
	return wire.StateName(e.GetMember().GetState())
}

func roleState(r *wire.Role) string {
	if r.GetVacant() {
		return "vacant"
	}
	return "held"
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func (c *Commander) eventsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "events",
		Short: "Print the catalogue of log events",
		Args:  cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			fmt.Fprintln(c.config.Out, "| number | name | level | meaning |\n| --- | --- | --- | --- |")
			for _, e := range logger.Catalogue {
				fmt.Fprintln(c.config.Out, logger.Row(e))
			}
		},
	}
}
