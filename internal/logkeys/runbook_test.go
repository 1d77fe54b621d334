package logkeys_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const (
	root    = "../.."
	runbook = root + "/docs/operations/oncall.md"
)

// TestErrorMessagesAreInRunbook checks that each log message of level error has a row in the runbook, and that each row belongs to a
// message.
func TestErrorMessagesAreInRunbook(t *testing.T) {
	logged, described := errorMessages(t), runbookMessages(t)
	if len(logged) == 0 || len(described) == 0 {
		t.Fatalf("error messages: got %d in the code, %d in the runbook, want at least 1 each", len(logged), len(described))
	}
	for message, position := range logged {
		if !described[message] {
			t.Errorf("%s: message %q has no row in %s, want one", position, message, runbook)
		}
	}
	for message := range described {
		if _, ok := logged[message]; !ok {
			t.Errorf("%s: message %q is not logged anywhere, want its row removed", runbook, message)
		}
	}
}

// errorMessages returns the constant messages of all calls of slog.Logger.Error, each with the position of one call.
func errorMessages(t *testing.T) map[string]string {
	t.Helper()
	messages := map[string]string{}
	files := token.NewFileSet()
	for _, folder := range []string{"internal", "cmd/gullrudder"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			if strings.Contains(path, "internal/simulator") {
				return nil // test support, which is not in operation
			}
			file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool {
				if call, ok := node.(*ast.CallExpr); ok {
					addErrorMessage(t, files, call, messages)
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return messages
}

// addErrorMessage adds the message of a call x.Error(message, ...). A call without arguments is that of an error value and is skipped.
// A message that is not a literal is allowed only in a call of testing.T.
func addErrorMessage(t *testing.T, files *token.FileSet, call *ast.CallExpr, messages map[string]string) {
	t.Helper()
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != "Error" || len(call.Args) == 0 {
		return
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok {
		if receiver, ok := selector.X.(*ast.Ident); !ok || receiver.Name != "t" {
			t.Errorf("%s: error message is not constant, want a constant", files.Position(call.Pos()))
		}
		return
	}
	message, err := strconv.Unquote(literal.Value)
	if err != nil {
		t.Fatal(err)
	}
	messages[message] = files.Position(call.Pos()).String()
}

// runbookMessages returns the messages in the first column of the runbook's tables of error messages.
func runbookMessages(t *testing.T) map[string]bool {
	t.Helper()
	text, err := os.ReadFile(runbook)
	if err != nil {
		t.Fatal(err)
	}
	_, section, ok := strings.Cut(string(text), "\n## Messages of level error\n")
	if !ok {
		t.Fatalf("%s: no section of error messages, want one", runbook)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	messages := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(section, -1) {
		messages[row[1]] = true
	}
	return messages
}
