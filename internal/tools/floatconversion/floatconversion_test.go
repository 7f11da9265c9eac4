package floatconversion_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/tools/go/packages"
)

// converter is the package whose conversions are bounded.
const converter = "basaltloft/internal/shared/saturating"

// directConversions returns the positions at which a file converts a floating-point number that is not a
// constant to an integer type. Conversions of type parameters are not found.
func directConversions(files *token.FileSet, file *ast.File, info *types.Info) (positions []string) {
	ast.Inspect(file, func(node ast.Node) bool {
		if call, isCall := node.(*ast.CallExpr); isCall && isDirectConversion(call, info) {
			positions = append(positions, files.Position(call.Pos()).String())
		}
		return true
	})
	return positions
}

// isDirectConversion reports whether a call is such a conversion.
func isDirectConversion(call *ast.CallExpr, info *types.Info) bool {
	if len(call.Args) != 1 || !info.Types[call.Fun].IsType() {
		return false
	}
	argument := info.Types[call.Args[0]]
	return argument.Value == nil && isBasic(info.Types[call.Fun].Type, types.IsInteger) && isBasic(argument.Type, types.IsFloat)
}

// isBasic reports whether the type underlying another one is a basic one of a kind.
func isBasic(t types.Type, kind types.BasicInfo) bool {
	basic, ok := t.Underlying().(*types.Basic)
	return ok && basic.Info()&kind != 0
}

// TestFloatsAreConvertedInOnePlace guards against decisions that depend on the processor.
func TestFloatsAreConvertedInOnePlace(t *testing.T) {
	const needed = packages.NeedName | packages.NeedFiles | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedImports | packages.NeedExportFile
	loaded, err := packages.Load(&packages.Config{Context: t.Context(), Mode: needed, Dir: "../../.."}, "./internal/...", "./coord/...", "./cmd/...")
	require.NoError(t, err)
	require.NotEmpty(t, loaded)
	for _, loadedPackage := range loaded {
		require.Empty(t, loadedPackage.Errors, loadedPackage.PkgPath)
		if loadedPackage.PkgPath == converter {
			continue
		}
		for _, file := range loadedPackage.Syntax {
			require.Empty(t, directConversions(loadedPackage.Fset, file, loadedPackage.TypesInfo), "use package saturating")
		}
	}
}

func TestDirectConversionsAreFound(t *testing.T) {
	const source = `package p

import "time"

type count int

func f(x float64, y float32, n int) []any {
	return []any{int(x), time.Duration(x), count(y), int64(float64(n) * x), int(2.0), int64(n), float64(n), len("x")}
}
`
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, "p.go", source, 0)
	require.NoError(t, err)
	info := &types.Info{Types: map[ast.Expr]types.TypeAndValue{}}
	timePackage := types.NewPackage("time", "time")
	timePackage.Scope().Insert(types.NewTypeName(token.NoPos, timePackage, "Duration", nil))
	types.NewNamed(timePackage.Scope().Lookup("Duration").(*types.TypeName), types.Typ[types.Int64], nil)
	timePackage.MarkComplete()
	config := types.Config{Importer: importerOf{timePackage}}
	_, err = config.Check("p", files, []*ast.File{file}, info)
	require.NoError(t, err)
	require.Len(t, directConversions(files, file, info), 4, "the first four")
}

// importerOf imports one package.
type importerOf struct{ known *types.Package }

func (i importerOf) Import(path string) (*types.Package, error) {
	if path != i.known.Path() {
		return nil, fmt.Errorf("no package %s", path)
	}
	return i.known, nil
}
