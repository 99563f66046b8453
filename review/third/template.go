package main

import (
	"regexp"
	"sort"
	"strings"
)

// fields are the values that the platform fills into a template. A value is a string or a map of strings.
type fields map[string]any

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/[a-z_.0-9]+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in the part of the template language that the templates of this project use: values, and sections for
// present values and for the entries of tables.
func render(template string, f fields) string {
	text := sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		switch v := f[m[1]].(type) {
		case string:
			if v == "" {
				return ""
			}
			return m[2]
		case map[string]string:
			keys := make([]string, 0, len(v))
			for k := range v {
				keys = append(keys, k)
			}
			sort.Strings(keys)
			var out strings.Builder
			for i, k := range keys {
				comma := ","
				if i == len(keys)-1 {
					comma = ""
				}
				out.WriteString(strings.NewReplacer("{{@}}", k, "{{.}}", v[k], "{{,}}", comma).Replace(m[2]))
			}
			return out.String()
		}
		return ""
	})
	return placeholderPattern.ReplaceAllStringFunc(text, func(s string) string {
		v, _ := f[placeholderPattern.FindStringSubmatch(s)[1]].(string)
		return v
	})
}
