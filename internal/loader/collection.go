package loader

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// documentSuffix is the suffix of the names of the files that are collected from
// directories. Other YAML files there belong to other tools.
const documentSuffix = "fuchsiapitch.yaml"

// Collect decodes the documents in files and directories. Directories are searched
// recursively for files whose names end with fuchsiapitch.yaml. It returns a
// ProblemsError with the problems of all files.
func Collect(paths ...string) ([]Document, error) {
	p := &problems{}
	var documents []Document
	for _, f := range findFiles(paths, p) {
		content, ok := readFile(f, p)
		if ok {
			documents = append(documents, decodeDocuments(f, content, p)...)
		}
	}
	return documents, p.err()
}

// findFiles returns the cleaned paths of the files to read, sorted and without
// duplicates.
func findFiles(paths []string, p *problems) []string {
	var files []string
	for _, root := range paths {
		previousCount := len(files)
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if !entry.IsDir() && (path == root || strings.HasSuffix(entry.Name(), documentSuffix)) {
				files = append(files, filepath.Clean(path))
			}
			return nil
		})
		if err != nil {
			p.add(Position{File: root}, Unreadable, err.Error(), "a readable file or directory")
		} else if len(files) == previousCount {
			p.add(Position{File: root}, Unreadable, "the directory holds no documents", "files whose names end with "+documentSuffix)
		}
	}
	slices.Sort(files)
	return slices.Compact(files)
}

func readFile(path string, p *problems) ([]byte, bool) {
	content, err := os.ReadFile(path)
	if err != nil {
		p.add(Position{File: path}, Unreadable, err.Error(), "a readable file")
		return nil, false
	}
	return content, true
}
