package loader

import (
	"slices"
	"sort"
	"strings"

	"gopkg.in/ini.v1"
)

// Key is one name and value of a section.
type Key struct {
	Name  string
	Value string
}

// Section is a named list of keys in the order of the file.
type Section struct {
	Name string
	Keys []Key
}

// Split reads INI text into its sections. Repeated sections and keys are problems.
func Split(text []byte) ([]Section, Problems) {
	f, err := ini.LoadSources(iniOptions, text)
	if err != nil {
		return nil, Problems{{Text: err.Error()}}
	}
	var out []Section
	var problems Problems
	seen := map[string]bool{}
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection {
			problems = append(problems, strayKeys(s)...)
			continue
		}
		if seen[s.Name()] {
			problems = append(problems, Problem{Section: s.Name(), Text: "the section stands twice"})
			continue
		}
		seen[s.Name()] = true
		section, faults := readSection(s)
		out = append(out, section)
		problems = append(problems, faults...)
	}
	return out, problems
}

// Join writes sections as INI text that Split reads back.
func Join(sections []Section) string {
	var b strings.Builder
	for i, s := range sections {
		if i > 0 {
			b.WriteString("\n")
		}
		b.WriteString("[" + s.Name + "]\n")
		for _, k := range s.Keys {
			b.WriteString(k.Name + " = " + k.Value + "\n")
		}
	}
	return b.String()
}

// Value returns the value of a key; ok is false if the section lacks it.
func (s Section) Value(name string) (value string, ok bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k.Value, true
		}
	}
	return "", false
}

// Kind returns the first word of the section's name, and the rest of it.
func (s Section) Kind() (kind, name string) {
	kind, name, _ = strings.Cut(s.Name, " ")
	return kind, strings.TrimSpace(name)
}

var iniOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	SpaceBeforeInlineComment:   true,
	SkipUnrecognizableLines:    false,
	IgnoreContinuation:         true,
	ChildSectionDelimiter:      "\x00",
	KeyValueDelimiters:         "=",
}

func strayKeys(s *ini.Section) Problems {
	var problems Problems
	for _, k := range s.Keys() {
		problems = append(problems, Problem{Key: k.Name(), Text: "the key stands before the first section"})
	}
	return problems
}

func readSection(s *ini.Section) (Section, Problems) {
	out := Section{Name: s.Name()}
	var problems Problems
	for _, k := range s.Keys() {
		if len(k.ValueWithShadows()) > 1 {
			problems = append(problems, Problem{Section: s.Name(), Key: k.Name(), Text: "the key stands twice"})
		}
		out.Keys = append(out.Keys, Key{Name: k.Name(), Value: k.Value()})
	}
	return out, problems
}

// unknownKeys lists the keys of a section that nobody asked for.
func unknownKeys(s Section, asked map[string]bool) Problems {
	names := make([]string, 0, len(asked))
	for n := range asked {
		names = append(names, n)
	}
	sort.Strings(names)
	var problems Problems
	for _, k := range s.Keys {
		if slices.Contains(names, k.Name) {
			continue
		}
		text := "unknown key; known here: " + strings.Join(names, ", ")
		problems = append(problems, Problem{Section: s.Name, Key: k.Name, Text: text})
	}
	return problems
}
