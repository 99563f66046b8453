package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLeaveWithoutControl guards against requests that are cut off at the end of the grace period since
// the time that the entry waited for control came on top of the time to leave.
func TestLeaveWithoutControl(t *testing.T) {
	is := is.New(t)
	limit := 5 * leavePollInterval
	begun := time.Now()
	waitToLeave(func() bool { return false }, time.Minute, limit)
	took := time.Since(begun)
	is.True(took >= limit)
	is.True(took < leaveTimeout)
}
