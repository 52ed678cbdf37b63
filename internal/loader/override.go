package loader

import (
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// overrides replace values of a file by values of the command line.
type overrides struct{ values map[string]string }

// apply replaces the values that stand directly in a section.
func (o *overrides) apply(s *section) {
	for key, value := range o.values {
		own, found := strings.CutPrefix(key, s.path(""))
		if !found || own == "" || strings.Contains(own, ".") {
			continue
		}
		flag := "flag -" + key
		bodies := parse(flag, []byte(value), s.problems)
		if len(bodies) != 1 {
			s.problems.add(Position{File: flag}, BadValue, "the flag", "one YAML value")
			continue
		}
		s.set(own, Position{File: flag}, flag, bodies[0])
	}
}

// set puts a value in place of that of the file.
func (s *section) set(key string, at Position, file string, value ast.Node) {
	s.keys[key], s.values[key], s.files[key] = at, value, file
}
