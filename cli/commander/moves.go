package commander

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/filberthoist/filberthoist/core/wire"
)

// watchInterval is the time between two polls of a watched move.
const watchInterval = time.Second

func (c *Commander) movesCommand() *cobra.Command {
	moves := &cobra.Command{Use: "moves", Short: "List and watch the moves of the text in force"}
	moves.AddCommand(c.listMovesCommand(), c.watchMoveCommand())
	return moves
}

func (c *Commander) listMovesCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the moves with their progress and the responses of both sides",
		Example: "  filberthoist moves list\n  filberthoist moves list --output json",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := c.fetchStatus()
			if err != nil {
				return err
			}
			if c.outputFormat == "json" {
				c.printJSON(s.GetMoves())
				return nil
			}
			for _, m := range s.GetMoves() {
				c.printMove(m)
			}
			return nil
		},
	}
}

func (c *Commander) watchMoveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "watch NAME",
		Short: "Print each change of a move until it is done or taken back",
		Long: "Print each change of a move until it is done or taken back.\n\n" +
			"Exit status: 0 done, 2 taken back, 1 the move is not in the text or nobody answered.",
		Example: "  filberthoist moves watch lampsToV2",
		Args:    cobra.ExactArgs(1),
		RunE:    func(_ *cobra.Command, a []string) error { return c.watchMove(a[0]) },
	}
}

func (c *Commander) watchMove(name string) error {
	printedChange := ^uint64(0)
	for ; ; time.Sleep(watchInterval) {
		s, err := c.fetchStatus()
		if err != nil {
			return err
		}
		if !s.GetQuorum() {
			c.printUnconfirmed(s)
			continue
		}
		m := findMove(s.GetMoves(), name)
		if m == nil {
			return ExitError{ExitFailed, "no move is called " + name + " in the text in force; 'filberthoist moves list' shows all moves"}
		}
		if n := m.GetMove().GetChange(); n != printedChange {
			printedChange = n
			c.printMove(m)
		}
		switch m.GetMove().GetStage() {
		case wire.MoveStage_MOVE_STAGE_DONE:
			return nil
		case wire.MoveStage_MOVE_STAGE_TAKEN_BACK:
			return ExitError{ExitRefused, "taken back: " + m.GetMove().GetReason() +
				"; fix the new side, then apply the move with another deadline to try again"}
		}
	}
}

// printUnconfirmed says that no leader confirmed a status: the member that sent it may lack the text that is watched.
func (c *Commander) printUnconfirmed(s *wire.StatusResponse) {
	fmt.Fprintf(c.config.Err, "%s has no quorum; the status of the move is not known\n", s.GetMember())
}

func findMove(list []*wire.MoveStatus, name string) *wire.MoveStatus {
	for _, m := range list {
		if m.GetName() == name {
			return m
		}
	}
	return nil
}

var stageNames = map[wire.MoveStage]string{
	wire.MoveStage_MOVE_STAGE_RAMPING:    "ramping",
	wire.MoveStage_MOVE_STAGE_BAKING:     "baking",
	wire.MoveStage_MOVE_STAGE_DONE:       "done",
	wire.MoveStage_MOVE_STAGE_TAKEN_BACK: "taken back",
}

func (c *Commander) printMove(m *wire.MoveStatus) {
	r := m.GetMove()
	if c.outputFormat == "json" {
		c.printJSON(m)
		return
	}
	deadline := time.UnixMilli(m.GetDeadlineUnixMilliseconds()).UTC()
	late := ""
	if r.GetStage() != wire.MoveStage_MOVE_STAGE_DONE && time.Now().After(deadline) {
		late = ", late"
	}
	stage := stageNames[r.GetStage()]
	if r == nil {
		stage = "not begun"
	}
	fmt.Fprintf(c.config.Out, "%s: %s %s -> %s, %s%s, share %.1f %% (at most once: %.1f %%), deadline %s: %s\n",
		m.GetName(), m.GetService(), m.GetFrom(), m.GetTo(), stage, late,
		100*r.GetShare(), 100*r.GetOnceShare(), deadline.Format(time.RFC3339), r.GetReason())
	for _, v := range m.GetRoutes() {
		fmt.Fprintf(c.config.Out, "  %s: old %d answers, %d failed, %d slow; new %d, %d, %d; evidence %.3g of %.0f\n",
			v.GetRoute(), v.GetOld().GetCount(), v.GetOld().GetFailed(), v.GetOldSlow(),
			v.GetNew().GetCount(), v.GetNew().GetFailed(), v.GetNewSlow(), v.GetEvidence(), m.GetLimit())
	}
}
