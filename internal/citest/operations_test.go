package citest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// operationsPage documents the log messages for the engineers on call.
const operationsPage = "docs/operations.md"

// shownLevels are the zerolog methods that start an event of a level that is logged by default.
var shownLevels = map[string]bool{"Info": true, "Warn": true, "Error": true, "Fatal": true}

// logTableHeader is the header row of each table of log messages.
const logTableHeader = "| msg | level | package | meaning | what to do |"

// logRow matches a row of a table of log messages: `msg` | level | package | meaning | what to do. No cell may be empty.
var logRow = regexp.MustCompile("^\\| `([^`]+)` \\| (info|warn|error|fatal)\\b[^|]*\\| `([^`]+)` \\| ([^|]+) \\| ([^|]+) \\|$")

// listedMessage is a log message with the directory of the package that logs it.
type listedMessage struct{ text, dir string }

// The page's tables must list exactly the messages that the code logs at level info and above.
func TestOperationsPageListsEveryLogLine(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repositoryRoot, operationsPage))
	if err != nil {
		t.Fatal(err)
	}
	listed, malformed := listedMessages(string(page))
	for _, row := range malformed {
		t.Errorf("%s: malformed row, want msg, level, package, meaning and what to do: %s", operationsPage, row)
	}
	logged := map[listedMessage]bool{}
	for _, p := range parsePackages(t) {
		for text := range shownMessages(p.files) {
			logged[listedMessage{text, p.dir}] = true
		}
	}
	if len(logged) == 0 {
		t.Fatal("no log message found in the code")
	}
	for _, m := range missingFrom(logged, listed) {
		t.Errorf("%s: no row for `%s` of package `%s`", operationsPage, m.text, m.dir)
	}
	for _, m := range missingFrom(listed, logged) {
		t.Errorf("%s: package `%s` logs no `%s` at level info or above", operationsPage, m.dir, m.text)
	}
}

// shownMessages finds the messages of log calls of each form that the code uses.
func TestShownMessages(t *testing.T) {
	for _, c := range []struct {
		name, body string
		want       []string
	}{
		{"info", `l.Info().Msg("a")`, []string{"a"}},
		{"warn with fields", `l.Warn().Err(err).Int("n", 1).Msg("a")`, []string{"a"}},
		{"error in a field of a field", `x.opt.Log.Error().Msg("a")`, []string{"a"}},
		{"fatal", `l.Fatal().Msg("a")`, []string{"a"}},
		{"debug and trace", `l.Debug().Msg("a"); l.Trace().Msg("b")`, nil},
		{"a constant message", `const text = "a"; l.Info().Msg(text)`, []string{"a"}},
		{"a message over two lines", "l.Info().\nStr(\"k\", \"v\").\nMsg(\"a\")", []string{"a"}},
		{"a variable", `e := l.Info(); e.Int("n", 1).Msg("a")`, []string{"a"}},
		{"a variable of a debug event", `e := l.Debug(); e.Msg("a")`, nil},
		{"a helper that takes the event", `sampled(l.Warn().Int("n", 1), "a")`, []string{"a"}},
		{"a helper that takes a debug event", `sampled(l.Debug(), "a")`, nil},
		{"a helper that returns the event", `if e := infoEvent(); e != nil { e.Msg("a") }`, []string{"a"}},
		{"an error's text beside a literal", `report(err.Error(), "a")`, nil},
		{"a function that returns a debug event", `debugEvent().Msg("a")`, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			source := "package p\n\nfunc sampled(e *zerolog.Event, text string) { e.Msg(text) }\n\nfunc infoEvent() *zerolog.Event { return l.Info().Str(\"k\", \"v\") }\n\n" +
				"func debugEvent() *zerolog.Event { return l.Debug() }\n\nfunc f() {\n" + c.body + "\n}\n"
			file, err := parser.ParseFile(token.NewFileSet(), "p.go", source, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			got := slices.Sorted(maps.Keys(shownMessages([]*ast.File{file})))
			if !slices.Equal(got, c.want) {
				t.Errorf("messages %q, want %q", got, c.want)
			}
		})
	}
}

// listedMessages parses the rows of the tables that begin with logTableHeader. Malformed rows are returned separately.
func listedMessages(page string) (listed map[listedMessage]bool, malformed []string) {
	listed = map[listedMessage]bool{}
	inTable := false
	for line := range strings.Lines(page) {
		line = strings.TrimRight(line, "\n")
		switch {
		case line == logTableHeader:
			inTable = true
		case !strings.HasPrefix(line, "|"):
			inTable = false
		case !inTable || strings.HasPrefix(line, "| ---"):
		default:
			if m := logRow.FindStringSubmatch(line); m != nil {
				listed[listedMessage{m[1], m[3]}] = true
			} else {
				malformed = append(malformed, line)
			}
		}
	}
	return listed, malformed
}

// missingFrom returns the messages in have that are not in other, sorted.
func missingFrom(have, other map[listedMessage]bool) []listedMessage {
	var out []listedMessage
	for m := range have {
		if !other[m] {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b listedMessage) int { return strings.Compare(a.dir+a.text, b.dir+b.text) })
	return out
}

// shownMessages returns the literal messages that the files of a package log at level info or above.
func shownMessages(files []*ast.File) map[string]bool {
	calls := logFunctions{builders: eventBuilders(files), consumers: eventConsumers(files), constants: stringConstants(files)}
	out := map[string]bool{}
	for _, file := range files {
		for _, decl := range file.Decls {
			function, ok := decl.(*ast.FuncDecl)
			if !ok || function.Body == nil {
				continue
			}
			events := eventVariables(function, calls.builders)
			ast.Inspect(function.Body, func(n ast.Node) bool {
				if call, ok := n.(*ast.CallExpr); ok {
					calls.collect(call, events, out)
				}
				return true
			})
		}
	}
	return out
}

// logFunctions holds the declarations of a package that its log calls use.
type logFunctions struct {
	builders  map[string]bool   // functions and methods that return an event of a shown level
	consumers map[string]bool   // functions and methods with an event as an argument
	constants map[string]string // string constants
}

// collect adds the message of a log call to out: Msg on a shown event, or a helper that takes such an event and the text.
func (l logFunctions) collect(call *ast.CallExpr, events, out map[string]bool) {
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	if isMethod && method.Sel.Name == "Msg" && len(call.Args) == 1 {
		if text, ok := stringValue(call.Args[0], l.constants); ok && isShown(method.X, l.builders, events) {
			out[text] = true
		}
		return
	}
	function, isFunction := call.Fun.(*ast.Ident)
	if !(isMethod && l.consumers[method.Sel.Name] || isFunction && l.consumers[function.Name]) {
		return
	}
	if !slices.ContainsFunc(call.Args, func(arg ast.Expr) bool { return isShown(arg, l.builders, events) }) {
		return
	}
	for _, arg := range call.Args {
		if text, ok := stringValue(arg, l.constants); ok {
			out[text] = true
		}
	}
}

// isShown reports whether an expression is a chain of calls that starts with an event of a shown level.
func isShown(e ast.Expr, builders, events map[string]bool) bool {
	switch e := e.(type) {
	case *ast.Ident:
		return events[e.Name]
	case *ast.CallExpr:
		switch f := e.Fun.(type) {
		case *ast.Ident:
			return builders[f.Name]
		case *ast.SelectorExpr:
			if shownLevels[f.Sel.Name] && len(e.Args) == 0 || builders[f.Sel.Name] {
				return true
			}
			return isShown(f.X, builders, events)
		}
	}
	return false
}

// eventBuilders returns the names of a package's functions and methods that start and return an event of a shown level.
func eventBuilders(files []*ast.File) map[string]bool {
	out := map[string]bool{}
	for _, file := range files {
		for _, decl := range file.Decls {
			function, ok := decl.(*ast.FuncDecl)
			if !ok || function.Body == nil || !hasEvent(function.Type.Results) {
				continue
			}
			ast.Inspect(function.Body, func(n ast.Node) bool {
				if call, ok := n.(*ast.CallExpr); ok && isShown(call, nil, nil) {
					out[function.Name.Name] = true
				}
				return true
			})
		}
	}
	return out
}

// eventConsumers returns the names of a package's functions and methods with an event as an argument.
func eventConsumers(files []*ast.File) map[string]bool {
	out := map[string]bool{}
	for _, file := range files {
		for _, decl := range file.Decls {
			if function, ok := decl.(*ast.FuncDecl); ok && hasEvent(function.Type.Params) {
				out[function.Name.Name] = true
			}
		}
	}
	return out
}

// hasEvent reports whether one of a function's arguments or results is a *zerolog.Event.
func hasEvent(fields *ast.FieldList) bool {
	if fields == nil {
		return false
	}
	for _, field := range fields.List {
		pointer, ok := field.Type.(*ast.StarExpr)
		if !ok {
			continue
		}
		if name, ok := pointer.X.(*ast.SelectorExpr); ok && name.Sel.Name == "Event" {
			return true
		}
	}
	return false
}

// eventVariables returns the names of a function's variables to which an event of a shown level is assigned.
func eventVariables(function *ast.FuncDecl, builders map[string]bool) map[string]bool {
	out := map[string]bool{}
	ast.Inspect(function.Body, func(n ast.Node) bool {
		assignment, ok := n.(*ast.AssignStmt)
		if !ok || len(assignment.Lhs) != len(assignment.Rhs) {
			return true
		}
		for i, value := range assignment.Rhs {
			if name, ok := assignment.Lhs[i].(*ast.Ident); ok && isShown(value, builders, out) {
				out[name.Name] = true
			}
		}
		return true
	})
	return out
}

// stringConstants returns the constants of a package that are string literals, including those within functions.
func stringConstants(files []*ast.File) map[string]string {
	out := map[string]string{}
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			declaration, ok := n.(*ast.GenDecl)
			if !ok || declaration.Tok != token.CONST {
				return true
			}
			for _, spec := range declaration.Specs {
				constant := spec.(*ast.ValueSpec)
				for i, value := range constant.Values {
					if text, ok := stringValue(value, nil); ok {
						out[constant.Names[i].Name] = text
					}
				}
			}
			return true
		})
	}
	return out
}

// stringValue returns the value of a string literal, or of a constant that is one.
func stringValue(e ast.Expr, constants map[string]string) (string, bool) {
	switch e := e.(type) {
	case *ast.Ident:
		text, ok := constants[e.Name]
		return text, ok
	case *ast.BasicLit:
		if e.Kind != token.STRING {
			return "", false
		}
		text, err := strconv.Unquote(e.Value)
		return text, err == nil
	}
	return "", false
}
