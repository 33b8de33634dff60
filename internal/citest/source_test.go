package citest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// repositoryRoot is the path of the repository's root, relative to this package.
const repositoryRoot = "../.."

// sourcePackage is one directory of Go code without its tests.
type sourcePackage struct {
	dir   string // relative to the root, with slashes; "." is the root package
	name  string
	files []*ast.File
}

// parsePackages parses all Go code of the repository except tests.
func parsePackages(t *testing.T) []*sourcePackage {
	t.Helper()
	byDir := map[string]*sourcePackage{}
	var packages []*sourcePackage
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := entry.Name()
		if entry.IsDir() {
			hidden := strings.HasPrefix(name, ".") && path != repositoryRoot
			if hidden || name == "testdata" || name == "journal" || name == "bin" {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		dir, err := filepath.Rel(repositoryRoot, filepath.Dir(path))
		if err != nil {
			return err
		}
		dir = filepath.ToSlash(dir)
		if byDir[dir] == nil {
			byDir[dir] = &sourcePackage{dir: dir, name: file.Name.Name}
			packages = append(packages, byDir[dir])
		}
		byDir[dir].files = append(byDir[dir].files, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return packages
}
