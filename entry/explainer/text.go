package explainer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/filberthoist/filberthoist/entry/balancer"
)

// textFormat is the format for reading; all others are JSON.
const textFormat = "text"

// maxNames is how many targets the text names of those that one rule excludes.
const maxNames = 5

// write writes an answer as text or JSON.
func (a *Answer) write(w http.ResponseWriter, format string) {
	if format == textFormat {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write([]byte(a.Text())) // fails if the operator disconnected
		return
	}
	b, err := json.MarshalIndent(a, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(b, '\n')) // fails if the operator disconnected
}

// Text returns the answer for reading.
func (a *Answer) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\nat entry %s, %s/%s, index %d\n", a.Result, a.Entry, a.Region, a.AvailabilityZone, a.Index)
	if a.Entries != nil {
		fmt.Fprintf(&b, "entries for such callers: %s\n", strings.Join(a.Entries, ", "))
	}
	for _, s := range a.Steps {
		mark := "passes"
		if !s.Passes {
			mark = "stops"
		}
		fmt.Fprintf(&b, "%s %s: %s\n", s.Name, mark, s.Detail)
	}
	for _, c := range a.Choices {
		c.writeText(&b)
	}
	return b.String()
}

func (c *Choice) writeText(b *strings.Builder) {
	version := c.Version
	if version == "" {
		version = "any"
	}
	fmt.Fprintf(b, "\nservice %s, version %s, %.1f %% of such requests (%s)\n", c.Service, version, 100*c.Share, c.Reason)
	fmt.Fprintf(b, "time left %v, longest wait in a queue %v\n", round(c.Remaining), round(c.MaxQueueWait))
	if n := c.Admission; n != nil {
		fmt.Fprintf(b, "admission: %s %s, %.0f %% of the slots in use, longest wait %v; admitted lately: %.0f %% of such requests, %.0f %% of the service\n",
			n.Verdict, n.Cause, 100*n.Busy, round(n.MaxWait), 100*n.Standing.Admitted, 100*n.Standing.ServiceAdmitted)
	}
	if c.Refusal != "" {
		fmt.Fprintf(b, "refused: %s; room in %v\n", c.Refusal, round(c.Delay))
	}
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "rank\ttarget\tzone\tversion\tload\treported\tslowness\tfailures\tobject\twait\texpected\t")
	for _, t := range c.Targets {
		if t.Excluded == "" {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%.1f of %d\t%s\t%.2f\t%.2f\t%s\t%v\t%v\t%s\n", t.Rank, t.Name, t.AvailabilityZone, t.Version,
				t.Load, t.Slots, reported(t), t.Slowness, t.FailureRate, warmth(t), round(t.Wait), round(t.Cost), t.Verdict)
		}
	}
	_ = w.Flush() // a builder accepts every write
	writeExcluded(b, c.Targets)
}

func reported(t balancer.TargetExplanation) string {
	if !t.Reported {
		return "never"
	}
	return round(t.ReportAge).String() + " ago"
}

func warmth(t balancer.TargetExplanation) string {
	switch {
	case t.Cold:
		return "cold target"
	case t.Warm:
		return "warm"
	}
	return "not seen"
}

// writeExcluded lists the excluded targets by rule.
func writeExcluded(b *strings.Builder, targets []balancer.TargetExplanation) {
	names := map[string][]string{}
	var rules []string
	for _, t := range targets {
		if t.Excluded == "" {
			continue
		}
		if names[t.Excluded] == nil {
			rules = append(rules, t.Excluded)
		}
		names[t.Excluded] = append(names[t.Excluded], t.Name)
	}
	slices.Sort(rules)
	for _, r := range rules {
		list, more := names[r], ""
		if n := len(list) - maxNames; n > 0 {
			list, more = list[:maxNames], fmt.Sprintf(" and %d more", n)
		}
		fmt.Fprintf(b, "excluded, since %s: %s%s\n", r, strings.Join(list, ", "), more)
	}
}

func round(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}
