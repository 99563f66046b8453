package tallier

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkBegin measures what counting adds to each attempt, with 82 teams.
func BenchmarkBegin(b *testing.B) {
	u := NewTallier(Config{Now: time.Now, Window: 5 * time.Second})
	var teams []string
	for i := range 82 {
		teams = append(teams, fmt.Sprint("team", i))
	}
	i := 0
	for b.Loop() {
		u.Begin(teams[i%len(teams)])
		i++
	}
}
