package timekeeper

import (
	"testing"

	"github.com/matryer/is"
)

func TestClock(t *testing.T) {
	t.Run("is monotonic", func(t *testing.T) {
		is := is.New(t)
		c := NewClock()
		last := c.Now()
		for range 1000 {
			n := c.Now()
			is.True(n >= last)
			last = n
		}
	})
}
