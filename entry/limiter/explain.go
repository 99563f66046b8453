package limiter

import (
	"fmt"
	"time"

	"github.com/filberthoist/filberthoist/core/parser"
)

// Standing tells what a request of a team would meet at this entry. Durations are in nanoseconds in JSON.
type Standing struct {
	// Admitted reports whether the request would be admitted here, after Wait. If it would not, Wait is the time after which
	// another attempt may succeed.
	Admitted bool          `json:"admitted"`
	Wait     time.Duration `json:"wait"`
	// Share is the fraction of the team's rate that this entry may admit, and Tokens what it holds of it.
	Share  float64 `json:"share"`
	Tokens float64 `json:"tokens"`
	// Borrows is set if the decision is control's, which lends tokens to entries without a share.
	Borrows bool   `json:"borrows"`
	Reason  string `json:"reason"`
}

// Explain tells what a request of a team would meet now, with a time left until its deadline. It spends no token.
func (d *ShareLimiter) Explain(t *parser.Team, left time.Duration) Standing {
	if t == nil || t.Unlimited {
		return Standing{Admitted: true, Reason: "no limit"}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	t = d.latest(t)
	s := Standing{Share: d.config.Share(t.Name)}
	if b := d.teams[t.Name]; b != nil {
		s.Tokens = d.config.Overdraft.tokensAt(d.config.Clock.Now(), t, s.Share, b)
	}
	rate := t.Rate * s.Share
	switch {
	case d.config.Borrower != nil && s.Share == 0:
		s.Borrows, s.Reason = true, "this entry has no share of the team's rate and asks control for a token"
		return s
	case s.Tokens >= 1:
		s.Admitted, s.Reason = true, "a token is there"
		return s
	case rate <= 0:
		s.Wait, s.Reason = rateSpan, "this entry has no share of the team's rate"
		return s
	}
	s.Wait = time.Duration((1 - s.Tokens) / rate * float64(time.Second))
	if s.Admitted = s.Wait <= min(maxTokenWait, left); s.Admitted {
		s.Reason = "the next token comes in time"
	} else {
		s.Reason = fmt.Sprintf("the next token comes later than requests wait, which is %v", maxTokenWait)
	}
	return s
}
