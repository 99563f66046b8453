package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// field is one field of the platform's settings: a text, a list or an ordered table.
type field struct {
	text  string
	list  []string
	table [][2]string
}

var (
	sectionTag = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`)
	valueTag   = regexp.MustCompile(`\{\{([^#/}]+)\}\}`)
)

// render fills in a template the way DEPLOY.md describes, as far as the templates of deploy/ need it.
func render(template string, fields map[string]field) string {
	out := sectionTag.ReplaceAllStringFunc(template, func(m string) string {
		p := sectionTag.FindStringSubmatch(m)
		f, ok := fields[p[1]]
		if !ok {
			return ""
		}
		if f.table == nil {
			return p[2]
		}
		var b strings.Builder
		for i, row := range f.table {
			comma := ","
			if i == len(f.table)-1 {
				comma = ""
			}
			b.WriteString(strings.NewReplacer("{{@}}", row[0], "{{.}}", row[1], "{{,}}", comma).Replace(p[2]))
		}
		return b.String()
	})
	return valueTag.ReplaceAllStringFunc(out, func(m string) string {
		return lookUp(fields, strings.Trim(m, "{}"))
	})
}

func lookUp(fields map[string]field, name string) string {
	if f, ok := fields[name]; ok {
		if f.list != nil {
			return strings.Join(f.list, ",")
		}
		return f.text
	}
	base, last, ok := cutLast(name)
	f, known := fields[base]
	if !ok || !known {
		return ""
	}
	for i, v := range f.list {
		if fmt.Sprint(i) == last {
			return v
		}
	}
	if i := slices.IndexFunc(f.table, func(row [2]string) bool { return row[0] == last }); i >= 0 {
		return f.table[i][1]
	}
	return ""
}

func cutLast(name string) (string, string, bool) {
	i := strings.LastIndexByte(name, '.')
	if i < 0 {
		return name, "", false
	}
	return name[:i], name[i+1:], true
}
