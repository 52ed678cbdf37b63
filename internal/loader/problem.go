package loader

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// ProblemKind classifies a problem.
type ProblemKind int

// The kinds of problem.
const (
	// Unreadable means that the file cannot be read.
	Unreadable ProblemKind = iota + 1
	// BadSyntax means that the file is not well-formed YAML.
	BadSyntax
	// UnknownKey means that a key does not exist.
	UnknownKey
	// MissingKey means that a key is required and absent.
	MissingKey
	// WrongType means that a value has the wrong YAML type.
	WrongType
	// BadValue means that a value has the right type but is not allowed.
	BadValue
	// DanglingReference means that a value names a document that does not exist.
	DanglingReference
	// Duplicate means that a name or key is used twice.
	Duplicate
)

// String returns the kind in kebab case.
func (k ProblemKind) String() string {
	names := [...]string{
		"", "unreadable", "bad-syntax", "unknown-key", "missing-key", "wrong-type",
		"bad-value", "dangling-reference", "duplicate",
	}
	if k <= 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Position is a position in a file. Lines and columns start at 1; 0 stands for
// the whole file.
type Position struct {
	// File is the path of the file, or "flag --set KEY" for a value of the command
	// line.
	File string
	// Line is the line number.
	Line int
	// Column is the column in characters.
	Column int
}

// String returns the position as file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Problem is one problem in a file.
type Problem struct {
	// Position is the position of the problem.
	Position Position
	// Kind is the class of the problem.
	Kind ProblemKind
	// Detail names the invalid key or value.
	Detail string
	// Expected describes what would be valid.
	Expected string
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: %s, expected %s", p.Position, p.Kind, p.Detail, p.Expected)
}

// ProblemsError reports every problem of the files that were read.
type ProblemsError struct {
	// Problems are sorted by file, line and column.
	Problems []Problem
}

// Error implements error. It has one line for each problem.
func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// problems collects the problems of all files.
type problems struct{ list []Problem }

func (p *problems) add(position Position, kind ProblemKind, detail, expected string) {
	p.list = append(p.list, Problem{Position: position, Kind: kind, Detail: detail, Expected: expected})
}

// err returns the collected problems as a ProblemsError, nil if there are none.
func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	slices.SortStableFunc(p.list, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.Position.File, b.Position.File),
			cmp.Compare(a.Position.Line, b.Position.Line),
			cmp.Compare(a.Position.Column, b.Position.Column),
		)
	})
	return &ProblemsError{Problems: p.list}
}
