package logger

import "fmt"

// Row returns the line of an event in the catalogue page.
func Row(e Event) string {
	return fmt.Sprintf("| %d | %s | %s | %s |", e.Number, e.Name, e.Level, e.Meaning)
}
