package wire

import "github.com/filberthoist/filberthoist/core/loader"

// FromTextSection converts a section from its protocol message.
func FromTextSection(s *TextSection) loader.Section {
	out := loader.Section{Name: s.GetName()}
	for _, k := range s.GetKeys() {
		out.Keys = append(out.Keys, loader.Key{Name: k.GetName(), Value: k.GetValue()})
	}
	return out
}

// ToTextSection converts a section to its protocol message, the form that is replicated.
func ToTextSection(s loader.Section) *TextSection {
	out := &TextSection{Name: s.Name}
	for _, k := range s.Keys {
		out.Keys = append(out.Keys, &TextKey{Name: k.Name, Value: k.Value})
	}
	return out
}
