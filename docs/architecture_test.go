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

// impure are the imports that a pure package must not have.
var impure = []string{"context", "crypto/rand", "log/slog", "math/rand", "net", "net/http", "os"}

// row is one package of the table.
type row struct {
	pure    bool
	imports []string
}

// table reads the package table of the page.
func table(g *WithT) map[string]row {
	page, err := os.ReadFile("ARCHITECTURE.md")
	g.Expect(err).NotTo(HaveOccurred())
	rows := map[string]row{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z]+)` \\| (yes)? *\\| .* \\|(.*)\\|$").FindAllStringSubmatch(string(page), -1) {
		rows[m[1]] = row{pure: m[2] == "yes", imports: strings.Fields(m[3])}
	}
	return rows
}

// read parses the package's files without its tests.
func read(g *WithT, dir string) []*ast.File {
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

// imported lists the import paths of the files, sorted.
func imported(files []*ast.File) []string {
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

// The package table names every package with its imports, and what it calls
// pure has no clock, goroutine, randomness or I/O.
func TestPackageTableMatchesTheImports(t *testing.T) {
	g := NewWithT(t)
	rows := table(g)
	dirs, err := filepath.Glob("../internal/*")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rows).To(HaveLen(len(dirs)))
	for _, dir := range dirs {
		name := filepath.Base(dir)
		g.Expect(rows).To(HaveKey(name))
		files := read(g, dir)
		var own []string
		for _, path := range imported(files) {
			if rest, found := strings.CutPrefix(path, internalPath); found {
				own = append(own, rest)
			}
			if rows[name].pure {
				g.Expect(impure).NotTo(ContainElement(path), name)
			}
		}
		g.Expect(rows[name].imports).To(ConsistOf(own), name)
		if rows[name].pure {
			expectNoClock(g, name, files)
		}
	}
}

// expectNoClock fails for a call of time.Now and its kin, and for a go statement.
func expectNoClock(g *WithT, name string, files []*ast.File) {
	clocks := []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"}
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			if _, ok := n.(*ast.GoStmt); ok {
				g.Expect(name).To(BeEmpty(), "a pure package starts a goroutine")
			}
			if s, ok := n.(*ast.SelectorExpr); ok {
				if x, ok := s.X.(*ast.Ident); ok && x.Name == "time" {
					g.Expect(clocks).NotTo(ContainElement(s.Sel.Name), name)
				}
			}
			return true
		})
	}
}
