package loader

import (
	"slices"
	"sort"
	"strings"

	"gopkg.in/ini.v1"
)

// Key is a key of a section and its value.
type Key struct {
	Name  string
	Value string
}

// Section is a named list of keys, in the order of the file.
type Section struct {
	Name string
	Keys []Key
}

// Split parses INI text into its sections. Duplicate sections and keys are problems.
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
			problems = append(problems, keysOutsideSections(s)...)
			continue
		}
		if seen[s.Name()] {
			problems = append(problems, Problem{Section: s.Name(), Text: "the section stands twice"})
			continue
		}
		seen[s.Name()] = true
		section, duplicates := readSection(s)
		out = append(out, section)
		problems = append(problems, duplicates...)
	}
	return out, problems
}

// Join formats sections as INI text that Split parses.
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

// Value returns the value of a key; ok is false if the section does not have it.
func (s Section) Value(name string) (value string, ok bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k.Value, true
		}
	}
	return "", false
}

// Kind splits the name of the section at the first space: "team landlords" has the kind team
// and the name landlords.
func (s Section) Kind() (kind, name string) {
	kind, name, _ = strings.Cut(s.Name, " ")
	return kind, strings.TrimSpace(name)
}

// iniOptions keep duplicate sections and keys, so that Split can report them. The NUL delimiter
// turns child sections off.
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

// keysOutsideSections reports the keys of the default section, those before the first header.
func keysOutsideSections(s *ini.Section) Problems {
	var problems Problems
	for _, k := range s.Keys() {
		problems = append(problems, Problem{Key: k.Name(), Text: "the key stands before the first section"})
	}
	return problems
}

// readSection converts a section and reports its duplicate keys.
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

// unknownKeys reports the keys of a section that are not in known.
func unknownKeys(s Section, known map[string]bool) Problems {
	names := make([]string, 0, len(known))
	for n := range known {
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
