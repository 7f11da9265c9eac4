package plan

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExamples checks that the example files have no problems, and that the page for operators
// shows the output of the check for them.
func TestExamples(t *testing.T) {
	page, err := os.ReadFile("../../../../docs/plans.md")
	require.NoError(t, err)
	for _, name := range []string{"plans-example.hcl", "plans-archive-example.hcl"} {
		text, list := example(t, name)
		lines, ok := CheckFile(filepath.Join("deploy", name), text, list)
		require.True(t, ok, lines)
		for _, line := range lines {
			require.Contains(t, string(page), "    "+line+"\n")
		}
	}
	lines, ok := CheckFile("x.hcl", stages("a safe:"), nil)
	require.False(t, ok)
	require.Contains(t, lines[0], "x.hcl:1:1: error: the classes that its stages name are not known")
}

// TestDigest checks that the digest changes with the text of the plan and with the classes that
// it names, but not with its place in the file.
func TestDigest(t *testing.T) {
	digest := func(text string) uint64 {
		plans, problems := Parse("p.hcl", []byte(text), classes)
		require.Empty(t, problems)
		return plans[0].Digest
	}
	one := digest(stages("a safe:"))
	require.Equal(t, one, digest("# moved\n"+stages("a safe:")))
	require.NotEqual(t, one, digest(stages("a safe: cost = \"1s\"")))
	was := classes["safe"]
	defer func() { classes["safe"] = was }()
	other := was
	other.Value++
	classes["safe"] = other
	require.NotEqual(t, one, digest(stages("a safe:")))
}

// lastStage parses a plan, and returns its last stage.
func lastStage(t testing.TB, lines ...string) *Stage {
	plans, problems := Parse("p.hcl", []byte(stages(lines...)), classes)
	require.Empty(t, problems)
	return plans[0].Stages[len(plans[0].Stages)-1]
}

// TestRender checks that path, body and key are rendered as the plan describes them, with the
// same bytes for the same values. An expression that can't be rendered must give an error with
// the place and the reason.
func TestRender(t *testing.T) {
	big := []byte(`"` + strings.Repeat("x", maxValueSize-10) + `"`)
	for _, c := range []struct{ body, input, item, a, want string }{
		{`{ z = input.x, a = [item, a[*].id] }`, `{"x":1.50}`, `"s"`, string(List([][]byte{[]byte(`{"id":7}`), []byte(`{"id":null}`)})), `{"a":["s",[7,null]],"z":1.5}`},
		{`present(a)`, `{}`, ``, string(List([][]byte{nil, []byte("3"), []byte("plain <text>")})), `[3,"plain \u003ctext\u003e"]`},
		{`"${input.x}-${length(input.l)} ${join(",", input.l)} ${lower("Ž")}"`, `{"x":"é","l":["a","b"]}`, ``, ``, `"é-2 a,b ž"`},
		{`input.x ? coalesce(input.n, "none") : jsonencode(input)`, `{"x":true,"n":null}`, ``, ``, `"none"`},
		{`a`, `{}`, ``, `not { json`, `"not { json"`},
		{`a`, `{}`, ``, ``, `null`},
		{`format("%03d %s", input.n, a)`, `{"n":7}`, ``, `true`, `"007 true"`},
		{`input.x`, `{}`, ``, ``, `p.hcl:15:17: unsupported attribute`},
		{`input.x.y`, `{"x":null}`, ``, ``, `null value`},
		{`a.b`, `{}`, ``, `[1]`, `unsupported attribute`},
		{`a + 1`, `{}`, ``, `"x"`, `a number is required`},
		{`1 / input.n`, `{"n":0}`, ``, ``, `a number is too large or too small`},
		{`input.n`, `{"n":1e999999}`, ``, ``, `1e999999 is no number that can be used`},
		{`input`, strings.Repeat("[", 40) + strings.Repeat("]", 40), ``, ``, `nested more than 32 deep`},
		{`a`, `{}`, ``, `[` + strings.Repeat(`1,`, 1024) + `1]`, `a list of 1025 entries; at most 1024 are used`},
		{`a`, `{}`, ``, `[` + strings.Repeat(`[`+strings.Repeat(`1,`, 1000)+`1],`, 33) + `1]`, `more than 32768 entries`},
		{`join("-", [input.n, "b"])`, `{"n":7}`, ``, ``, `"7-b"`},
		{`join("-", [a])`, `{}`, ``, ``, `entry 0 is not text but null`},
		{`a`, `{}`, ``, string(big) + "          ", `at most 1048576`},
		{`[a, a]`, `{}`, ``, string(big), `it has more than 1048576 bytes`},
		{`[` + strings.Repeat("a, ", 9) + `1]`, `{}`, ``, string(big), `at most 1048576 and 8388608`},
		{`format(input.x, 1)`, `{"x":"%999999999d"}`, ``, ``, `numbers of 2 digits`},
		{`join(input.x, input.l)`, `{"x":"` + strings.Repeat("-", 65) + `","l":["a","b"]}`, ``, ``, `at most 64 letters`},
	} {
		st := lastStage(t, "a safe:", "b safe a: each = [1]; most = 1; body = "+c.body)
		v := Values{Input: []byte(c.input), Item: []byte(c.item), Results: map[string][]byte{"a": []byte(c.a)}}
		if c.a == "" {
			v.Results["a"] = nil
		}
		path, body, key, err := st.Render(v)
		if err != nil {
			require.ErrorContains(t, err, c.want, c.body)
			require.ErrorContains(t, err, `stage "b": body: `)
			continue
		}
		require.Equal(t, []string{"/", c.want, ""}, []string{path, string(body), key}, c.body)
	}
	st := lastStage(t, `a keyed: path = "/x/${segment(input.p)}"; key = input.k; undo {; class = "safe"; path = "/u/${input.p}"; }`)
	for _, c := range []struct{ p, k, want string }{
		{"a b/č?#", "k", "/x/a%20b%2F%C4%8D%3F%23"}, {"a b", "k", "undo: path: \"/u/a b\" is no path"},
		{"..", "k", `is no segment`}, {"p", "", `key: "" is no key`}, {"p", "a\\u0007", "is no key"}, {"p", strings.Repeat("k", 257), "is no key"},
	} {
		v := Values{Input: []byte(`{"p":"` + c.p + `","k":"` + c.k + `"}`)}
		path, _, _, err := st.Render(v)
		if path != c.want {
			if err == nil {
				_, _, _, err = st.Undo.Render(v)
			}
			require.ErrorContains(t, err, c.want)
		}
	}
	_, _, _, err := st.Render(Values{})
	require.ErrorContains(t, err, "null")
}

// TestItems checks that a list within its bounds gives the items, and that anything else is an
// error. It also checks the key of a shared stage.
func TestItems(t *testing.T) {
	st := lastStage(t, "a safe: each = input.l; most = 3; at_least = 2")
	for list, want := range map[string]string{
		`[1,{"b":2,"a":"x"}]`: `1 {"a":"x","b":2}`, `[1]`: "at least 2 must succeed", `[1,2,3,4]`: "at most 3 are allowed", `"ab"`: "a list is needed, not string", `null`: "a list is needed, not null",
	} {
		items, err := st.Items(Values{Input: []byte(`{"l":` + list + `}`)})
		if err != nil {
			require.ErrorContains(t, err, want)
			continue
		}
		require.Equal(t, want, string(items[0])+" "+string(items[1]))
	}
	items, err := lastStage(t, "a safe:").Items(Values{})
	require.NoError(t, err)
	require.Equal(t, []Item{nil}, items)
	key, err := lastStage(t, `a safe: shared = "t-${input.t}"; shared_for = "1s"`).SharedKey(Values{Input: []byte(`{"t":7}`)})
	require.NoError(t, err)
	require.Equal(t, "t-7", key)
}

// TestHolds checks rerun conditions. A condition that can't be evaluated doesn't hold, and its
// error gives the reason.
func TestHolds(t *testing.T) {
	r := lastStage(t, "a safe:", `b safe a: rerun "a" {; when = end == "failed" && result.lost == "a"; most = 1; }`).Reruns[0]
	for _, c := range []struct {
		end          End
		result, want string
	}{{Failed, `{"lost":"a"}`, ""}, {Failed, `{"lost":"b"}`, "no"}, {Done, `{"lost":"a"}`, "no"}, {Late, "", "no"}, {Failed, "", "null value"}, {Failed, "text", "attribute"}, {Failed, `{"lost":[]}`, "no"}} {
		var result []byte
		if c.result != "" {
			result = []byte(c.result)
		}
		holds, err := r.Holds(c.end, result)
		require.Equal(t, c.want == "", holds, c)
		if err != nil {
			require.ErrorContains(t, err, c.want, c)
			require.ErrorContains(t, err, `rerun of "a": when: `)
		} else {
			require.Contains(t, []string{"", "no"}, c.want, c)
		}
	}
}
