// Package citest holds the test of the script by which CI runs the tests.
package citest

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// A test that KNOWN-RED.txt lists is passed over and printed as long as it fails, and nothing else is.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../../.ci/tests")
	if err != nil {
		t.Fatal(err)
	}
	const line = " in ./a: a cause (issue 31)\n"
	for _, c := range []struct {
		name, red string
		broken    bool // TestB fails
		passes    bool
		says      string
	}{
		{"nothing fails, nothing is listed", "", false, true, ""},
		{"what fails is listed", "TestB" + line, true, true, "known red: TestB in ./a: a cause (issue 31)"},
		{"what fails is not listed", "", true, false, "FAIL"},
		{"another test is listed than the one that fails", "TestA" + line, true, false, "FAIL"},
		{"what is listed passes", "TestB" + line, false, false, "TestB passes"},
		{"what is listed does not exist", "TestC" + line, false, false, "not one test"},
		{"it is in another package", "TestB in ./b: a cause (issue 31)\n", true, false, "not one test"},
		{"two packages have its name", "TestSame" + line, false, false, "not one test"},
		{"four lines", strings.TrimSpace(strings.Repeat("TestB"+line, 4)), true, false, "more than three"},
		{"no cause", "TestB in ./a\n", true, false, "can't be read"},
		{"no issue", "TestB in ./a: a cause\n", true, false, "can't be read"},
		{"a part of a test", "TestB/part" + line, true, false, "can't be read"},
		{"a last line without an end", "TestB" + strings.TrimSuffix(line, "\n"), true, true, "known red: TestB"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			b := "t.Log()"
			if c.broken {
				b = "t.Fail()"
			}
			head := "import \"testing\"\n\nfunc TestSame(t *testing.T) { t.Log() }\n\n"
			for name, text := range map[string]string{
				"go.mod": "module a.test\n\ngo 1.26\n", "README.md": "    go vet ./... && go test -race ./...     # the tests\n",
				"a/a_test.go": "package a\n\n" + head + "func TestA(t *testing.T) { t.Log() }\n\nfunc TestB(t *testing.T) { " + b + " }\n",
				"b/b_test.go": "package b\n\n" + head, "KNOWN-RED.txt": c.red,
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
			if (err == nil) != c.passes || !strings.Contains(string(out), c.says) {
				t.Errorf("%v\n%s", err, out)
			}
		})
	}
}
