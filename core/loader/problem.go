package loader

import "strings"

// Problem is one error in a settings file or a text, with its location.
type Problem struct {
	Section string
	Key     string
	Text    string
}

// Problems lists all errors found in one file or text. It implements error; use Err to get nil
// for an empty list.
type Problems []Problem

// String returns the problem as "[section] key: text".
func (p Problem) String() string {
	var b strings.Builder
	if p.Section != "" {
		b.WriteString("[" + p.Section + "] ")
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Text)
	return b.String()
}

// Error lists every problem, one a line.
func (p Problems) Error() string {
	return strings.Join(p.Lines(), "\n")
}

// Lines returns the string form of each problem.
func (p Problems) Lines() []string {
	lines := make([]string, 0, len(p))
	for _, q := range p {
		lines = append(lines, q.String())
	}
	return lines
}

// Err returns the problems as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
