package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const internalPath = "github.com/trefoilkeel/trefoilkeel/internal/"

// impureImports are imports that a package marked pure must not have.
var impureImports = []string{"context", "crypto/rand", "log/slog", "math/rand", "net", "net/http", "os"}

// packageRow is one row of the package table.
type packageRow struct {
	pure    bool
	imports []string
}

// readPackageTable reads the package table of ARCHITECTURE.md, keyed by package.
func readPackageTable(g *WithT) map[string]packageRow {
	page, err := os.ReadFile("ARCHITECTURE.md")
	g.Expect(err).NotTo(HaveOccurred())
	rows := map[string]packageRow{}
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z]+)` \\| (yes)? *\\| .* \\|(.*)\\|$").FindAllStringSubmatch(string(page), -1) {
		rows[match[1]] = packageRow{pure: match[2] == "yes", imports: strings.Fields(match[3])}
	}
	return rows
}

// parsePackage parses the Go files of a package except its tests.
func parsePackage(g *WithT, dir string) []*ast.File {
	names, err := filepath.Glob(filepath.Join(dir, "*.go"))
	g.Expect(err).NotTo(HaveOccurred())
	var files []*ast.File
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		g.Expect(err).NotTo(HaveOccurred())
		files = append(files, file)
	}
	return files
}

// importPaths returns the sorted import paths of the files.
func importPaths(files []*ast.File) []string {
	var paths []string
	for _, file := range files {
		for _, spec := range file.Imports {
			path, _ := strconv.Unquote(spec.Path.Value)
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return slices.Compact(paths)
}

// A change of imports can leave the package table out of date. It must list every
// internal package with its internal imports, and a package marked pure must use no
// clock, goroutine, randomness or I/O.
func TestPackageTableMatchesTheImports(t *testing.T) {
	g := NewWithT(t)
	rows := readPackageTable(g)
	dirs, err := filepath.Glob("../internal/*")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rows).To(HaveLen(len(dirs)))
	for _, dir := range dirs {
		name := filepath.Base(dir)
		g.Expect(rows).To(HaveKey(name))
		files := parsePackage(g, dir)
		var internalImports []string
		for _, path := range importPaths(files) {
			if rest, found := strings.CutPrefix(path, internalPath); found {
				internalImports = append(internalImports, rest)
			}
			if rows[name].pure {
				g.Expect(impureImports).NotTo(ContainElement(path), name)
			}
		}
		g.Expect(rows[name].imports).To(ConsistOf(internalImports), name)
		if rows[name].pure {
			expectNoClockOrGoroutine(g, name, files)
		}
	}
}

// expectNoClockOrGoroutine fails for a use of a function of package time that reads
// the clock or starts a timer, and for a go statement.
func expectNoClockOrGoroutine(g *WithT, name string, files []*ast.File) {
	clockFunctions := []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"}
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			if _, ok := n.(*ast.GoStmt); ok {
				g.Expect(name).To(BeEmpty(), "a pure package starts a goroutine")
			}
			if selector, ok := n.(*ast.SelectorExpr); ok {
				if qualifier, ok := selector.X.(*ast.Ident); ok && qualifier.Name == "time" {
					g.Expect(clockFunctions).NotTo(ContainElement(selector.Sel.Name), name)
				}
			}
			return true
		})
	}
}
