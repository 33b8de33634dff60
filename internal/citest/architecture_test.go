package citest

import (
	"go/ast"
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// architecturePage describes the structure of the code.
const architecturePage = "docs/ARCHITECTURE.md"

var (
	quoted = regexp.MustCompile("`([^`\n]+)`")
	// A path contains a slash or is a file of the root directory. Names that begin with a slash are URL paths and don't match.
	quotedPath = regexp.MustCompile(`^[A-Za-z0-9._-]+(/[A-Za-z0-9._-]+)+/?$|^[A-Za-z0-9_-]+\.(go|md|toml)$`)
	// A symbol is package.Symbol or package.Type.Method, where a field of a struct counts as a method.
	quotedSymbol = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Za-z_][A-Za-z0-9_]*(?:\.[A-Za-z_][A-Za-z0-9_]*)?)$`)
)

// Every path and symbol in backquotes on the page must exist in the repository.
func TestArchitecturePageNamesWhatExists(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repositoryRoot, architecturePage))
	if err != nil {
		t.Fatal(err)
	}
	declared := declaredSymbols(parsePackages(t))
	paths, symbols := 0, 0
	for _, match := range quoted.FindAllStringSubmatch(string(page), -1) {
		name := match[1]
		switch {
		case quotedPath.MatchString(name):
			paths++
			if _, err := os.Stat(filepath.Join(repositoryRoot, name)); err != nil {
				t.Errorf("%s: no file or directory `%s`", architecturePage, name)
			}
		case quotedSymbol.MatchString(name):
			symbols++
			if !declared[name] {
				t.Errorf("%s: no symbol `%s`", architecturePage, name)
			}
		}
	}
	if paths == 0 || symbols == 0 {
		t.Errorf("%s: %d paths and %d symbols in backquotes", architecturePage, paths, symbols)
	}
}

// The patterns for names in backquotes tell paths, symbols and other names apart.
func TestQuotedForms(t *testing.T) {
	for _, c := range []struct {
		name         string
		path, symbol bool
	}{
		{"core/ingress.go", true, false},
		{"internal/cli", true, false},
		{"token/*", false, false},
		{"gateway.go", true, false},
		{"core.Core", false, true},
		{"core.Core.Run", false, true},
		{"control.Controller.admitRequest", false, true},
		{"/ready", false, false},
		{"reason", false, false},
		{"X-Txn", false, false},
		{"curl -i http://ADMIN/ready", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := quotedPath.MatchString(c.name); got != c.path {
				t.Errorf("path %t, want %t", got, c.path)
			}
			if got := quotedSymbol.MatchString(c.name) && !quotedPath.MatchString(c.name); got != c.symbol {
				t.Errorf("symbol %t, want %t", got, c.symbol)
			}
		})
	}
}

// declaredSymbols returns the top-level declarations of packages as package.Symbol, and the methods and fields of their types
// as package.Type.Method.
func declaredSymbols(packages []*sourcePackage) map[string]bool {
	out := map[string]bool{}
	for _, p := range packages {
		for _, file := range p.files {
			for _, decl := range file.Decls {
				switch decl := decl.(type) {
				case *ast.FuncDecl:
					out[p.name+"."+receiverPrefix(decl)+decl.Name.Name] = true
				case *ast.GenDecl:
					for _, spec := range decl.Specs {
						declareSpec(p.name+".", spec, out)
					}
				}
			}
		}
	}
	return out
}

// receiverPrefix returns "Type." for a method of Type or *Type, and "" for a function.
func receiverPrefix(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

// declareSpec adds a type with its methods and fields, or constants and variables, to out.
func declareSpec(prefix string, spec ast.Spec, out map[string]bool) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			out[prefix+name.Name] = true
		}
	case *ast.TypeSpec:
		out[prefix+spec.Name.Name] = true
		var members *ast.FieldList
		switch definition := spec.Type.(type) {
		case *ast.InterfaceType:
			members = definition.Methods
		case *ast.StructType:
			members = definition.Fields
		default:
			return
		}
		for _, member := range members.List {
			for _, name := range member.Names {
				out[prefix+spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}
