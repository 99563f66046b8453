package loader

import (
	"os"
	"slices"

	"github.com/pkg/errors"
)

// Settings are the sections of one process's settings file.
type Settings struct {
	sections []Section
	known    []string
	problems Problems
}

// Open reads a settings file.
func Open(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading the settings")
	}
	return Parse(b), nil
}

// Parse reads settings from INI text; its faults come out of Err.
func Parse(text []byte) *Settings {
	sections, problems := Split(text)
	return &Settings{sections: sections, problems: problems}
}

// Section returns a Reader of the named section, empty if the file lacks it.
func (s *Settings) Section(name string) *Reader {
	s.known = append(s.known, name)
	for _, c := range s.sections {
		if c.Name == name {
			return NewReader(c, &s.problems)
		}
	}
	return NewReader(Section{Name: name}, &s.problems)
}

// Err returns every fault found so far, unknown sections included, or nil.
func (s *Settings) Err() error {
	for _, c := range s.sections {
		if !slices.Contains(s.known, c.Name) {
			s.problems = append(s.problems, Problem{Section: c.Name, Text: "unknown section"})
		}
	}
	return s.problems.Err()
}
