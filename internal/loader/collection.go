package loader

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// documentSuffix ends the names of the files that are collected below
// directories. Other YAML files there belong to other tools.
const documentSuffix = "fuchsiapitch.yaml"

// Collect reads the documents of files, and of all files below directories
// whose names end with fuchsiapitch.yaml. It returns a ProblemsError with every
// problem of every file.
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

// findFiles returns the files to read, in order and each once.
func findFiles(paths []string, p *problems) []string {
	var files []string
	for _, root := range paths {
		found := len(files)
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
		} else if len(files) == found {
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
