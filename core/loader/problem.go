package loader

import "strings"

// Problem is one fault of a settings file or text.
type Problem struct {
	Section string
	Key     string
	Text    string
}

// Problems are all faults found in one reading. They are an error when not empty.
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

// Lines returns each problem as a line.
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
