// Package citest tests the script that runs the tests in CI, and compares pages of the documentation with the code.
package citest

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Only the tests listed in KNOWN-RED.txt may fail: they are printed and skipped, and one that passes again makes the run fail.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../../.ci/tests")
	if err != nil {
		t.Fatal(err)
	}
	const line = " in ./a: a cause (issue 31)\n"
	for _, c := range []struct {
		name, knownRed string
		bFails         bool // TestB fails
		wantPass       bool
		wantOutput     string
	}{
		{"no failing test, empty list", "", false, true, ""},
		{"failing test is listed", "TestB" + line, true, true, "known red: TestB in ./a: a cause (issue 31)"},
		{"failing test is not listed", "", true, false, "FAIL"},
		{"a passing test is listed instead of the failing one", "TestA" + line, true, false, "FAIL"},
		{"listed test passes", "TestB" + line, false, false, "TestB passes"},
		{"listed test does not exist", "TestC" + line, false, false, "not one test"},
		{"listed under another package", "TestB in ./b: a cause (issue 31)\n", true, false, "not one test"},
		{"test name exists in two packages", "TestSame" + line, false, false, "not one test"},
		{"four lines", strings.TrimSpace(strings.Repeat("TestB"+line, 4)), true, false, "more than three"},
		{"no cause", "TestB in ./a\n", true, false, "can't be read"},
		{"no issue", "TestB in ./a: a cause\n", true, false, "can't be read"},
		{"subtest", "TestB/part" + line, true, false, "can't be read"},
		{"last line without a newline", "TestB" + strings.TrimSuffix(line, "\n"), true, true, "known red: TestB"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			b := "t.Log()"
			if c.bFails {
				b = "t.Fail()"
			}
			head := "import \"testing\"\n\nfunc TestSame(t *testing.T) { t.Log() }\n\n"
			for name, text := range map[string]string{
				"go.mod": "module a.test\n\ngo 1.26\n", "README.md": "    go vet ./... && go test -race ./...     # the tests\n",
				"a/a_test.go": "package a\n\n" + head + "func TestA(t *testing.T) { t.Log() }\n\nfunc TestB(t *testing.T) { " + b + " }\n",
				"b/b_test.go": "package b\n\n" + head, "KNOWN-RED.txt": c.knownRed,
			} {
				if err := os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o700); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			cmd := exec.Command(script)
			cmd.Dir = dir
			out, err := cmd.CombinedOutput()
			if (err == nil) != c.wantPass || !strings.Contains(string(out), c.wantOutput) {
				t.Errorf("%v\n%s", err, out)
			}
		})
	}
}
