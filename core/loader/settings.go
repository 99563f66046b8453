package loader

import (
	"os"
	"slices"

	"github.com/pkg/errors"
)

// Settings holds the sections of a process's settings file and the problems found in them.
type Settings struct {
	sections      []Section
	knownSections []string
	problems      Problems
}

// Open reads and parses a settings file. It returns an error only if the file cannot be read.
func Open(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading the settings")
	}
	return Parse(b), nil
}

// Parse parses settings from INI text. Err returns the problems of the text.
func Parse(text []byte) *Settings {
	sections, problems := Split(text)
	return &Settings{sections: sections, problems: problems}
}

// Section returns a Reader of the named section, or of an empty one if the file does not have it.
func (s *Settings) Section(name string) *Reader {
	s.knownSections = append(s.knownSections, name)
	for _, c := range s.sections {
		if c.Name == name {
			return NewReader(c, &s.problems)
		}
	}
	return NewReader(Section{Name: name}, &s.problems)
}

// Err returns all problems found so far, or nil. A section that was never asked for with
// Section is a problem.
func (s *Settings) Err() error {
	for _, c := range s.sections {
		if !slices.Contains(s.knownSections, c.Name) {
			s.problems = append(s.problems, Problem{Section: c.Name, Text: "unknown section"})
		}
	}
	return s.problems.Err()
}
