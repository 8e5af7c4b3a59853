package fulmarfall

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// corePackages perform no I/O; their callers pass in time and randomness.
var corePackages = []string{
	"ident", "membership", "record", "claim", "conviction", "registry", "control", "consensus", "lease",
	"searcher", "query", "admission", "directory", "model", "configuration", "roster", "quorum", "reachability", "callerlimit",
	"rollout", "usage",
}

// forbiddenImports give access to the network, files, other processes or system randomness.
var forbiddenImports = []string{"net", "net/http", "os", "os/exec", "syscall", "crypto/rand", "crypto/tls"}

// forbiddenCalls use the system clock, timers or the unseeded global random source.
var forbiddenCalls = map[string][]string{
	"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"},
	"rand": {"Int", "IntN", "Intn", "Int63", "Float64", "Perm", "Shuffle", "Uint64", "Uint32", "N", "ExpFloat64", "NormFloat64"},
}

// Guards against a core package that reads a clock, a socket, a file or an unseeded random source, so
// that its decisions cannot be reproduced from a seed.
func TestCorePackagesDoNoIO(t *testing.T) {
	for _, dir := range corePackages {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil {
			t.Fatalf("list files of %s: %v", dir, err)
		}

		if len(files) == 0 {
			t.Errorf("core package %s has no files", dir)
		}

		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}

			if diff := cmp.Diff([]string(nil), coreViolations(t, name)); diff != "" {
				t.Errorf("%s breaks the rules for core packages (-want +got):\n%s", name, diff)
			}
		}
	}
}

// coreViolations lists the forbidden imports and calls of one file.
func coreViolations(t *testing.T, name string) []string {
	t.Helper()

	fset := token.NewFileSet()

	file, err := parser.ParseFile(fset, name, nil, 0)
	if err != nil {
		t.Fatalf("parse %s: %v", name, err)
	}

	var violations []string

	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatalf("import path in %s: %v", name, err)
		}

		for _, bad := range forbiddenImports {
			if path == bad {
				violations = append(violations, "import "+path)
			}
		}
	}

	ast.Inspect(file, func(n ast.Node) bool {
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}

		pkg, ok := sel.X.(*ast.Ident)
		if !ok || pkg.Obj != nil {
			return true
		}

		for _, bad := range forbiddenCalls[pkg.Name] {
			if sel.Sel.Name == bad {
				violations = append(violations, pkg.Name+"."+bad)
			}
		}

		return true
	})

	return violations
}

// Guards against a response of a searcher that is parsed before package response has checked it.
func TestOnlyPackageResponseParsesResponses(t *testing.T) {
	parses := regexp.MustCompile(`Header\.Read\(|\.Read(LimitBody|Response)\(|\.Header\.ReadTrailer\(|http\.(Client|Transport|Get|Post|HostClient|Do)\b`)

	for _, dir := range []string{"entry", "node", "platform", "controlplane"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("list files of %s: %d, %v", dir, len(files), err)
		}

		for _, name := range files {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatalf("read %s: %v", name, err)
			}

			if found := parses.Find(text); found != nil && !strings.HasSuffix(name, "_test.go") {
				t.Errorf("%s uses %s, want package response to parse responses", name, found)
			}
		}
	}
}
