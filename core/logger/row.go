package logger

import "fmt"

// Row returns the row of an event in the Markdown table of docs/EVENTS.md.
func Row(e Event) string {
	return fmt.Sprintf("| %d | %s | %s | %s |", e.Number, e.Name, e.Level, e.Meaning)
}
