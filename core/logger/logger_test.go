package logger

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	last := 0
	for _, e := range Catalogue {
		t.Run(e.Name, func(t *testing.T) {
			is := is.New(t)
			is.True(e.Number > last) // numbers ascend
			last = e.Number
			is.True(strings.Contains(string(page), Row(e))) // docs/EVENTS.md has the row
		})
	}
	t.Run("page has no row besides", func(t *testing.T) {
		is := is.New(t)
		is.Equal(strings.Count(string(page), "\n| "), len(Catalogue)+2)
	})
}

func TestLog(t *testing.T) {
	t.Run("writes number, name and fields", func(t *testing.T) {
		is := is.New(t)
		var b bytes.Buffer
		l := NewLogger(Config{Writer: &b, Process: "entry1", Level: "info"})
		l.Log(EntryJoined, F("entry", "entry2"))
		is.True(strings.Contains(b.String(), `"event":401`))
		is.True(strings.Contains(b.String(), `"entry":"entry2"`))
	})
	t.Run("zero value discards", func(*testing.T) {
		Logger{}.Log(EntryJoined)
	})
}
