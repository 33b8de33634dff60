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

// The clients of net/http send some requests a second time by themselves, and follow redirects. What leaves for an endpoint is
// decided by the core, so no package may use them; upstream/httpstore sends on a connection of its own.
func TestNoPackageUsesAnHTTPClient(t *testing.T) {
	clients := map[string]bool{
		"Client": true, "DefaultClient": true, "DefaultTransport": true, "Get": true, "Head": true, "Post": true, "PostForm": true,
		"RoundTripper": true,
	}
	for _, p := range parsePackages(t) {
		if p.dir == "review" || strings.HasPrefix(p.dir, "review/") { // a module of its own
			continue
		}
		for _, file := range p.files {
			ast.Inspect(file, func(node ast.Node) bool {
				selector, ok := node.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				if left, ok := selector.X.(*ast.Ident); ok && left.Name == "http" && clients[selector.Sel.Name] {
					t.Errorf("%s uses http.%s", p.dir, selector.Sel.Name)
				}
				return true
			})
		}
	}
}
