package plan

import (
	"os"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/scenario"
	"basaltloft/internal/dispatcher/settings"

	"github.com/stretchr/testify/require"
)

const s = time.Second

// classes has a class of each effect, one without a timeout, and a deduplicated one whose keys
// are valid in one zone only.
var classes = ClassesByName([]policy.Class{
	{Name: "safe", ClientTimeout: 2 * s}, {Name: "once", Effect: policy.AtMostOnce, ClientTimeout: 3 * s}, {Name: "endless"},
	{Name: "keyed", Effect: policy.Deduplicated, DedupWindow: 9 * s, ClientTimeout: 5 * s},
	{Name: "zoned", Effect: policy.Deduplicated, DedupScope: policy.DedupZone, DedupWindow: 9 * s, ClientTimeout: s},
})

// stages returns the text of a plan. Each line describes a stage as "name class after: rest".
func stages(lines ...string) string {
	var b strings.Builder
	b.WriteString("plan \"p\" {\n  within = \"10m\"\n  attempts = 1000\n")
	for _, line := range lines {
		head, rest, _ := strings.Cut(line, ":")
		words := strings.Fields(head)
		b.WriteString("  stage \"" + words[0] + "\" {\n    class = \"" + words[1] + "\"\n")
		if !strings.Contains(strings.TrimSpace(rest)+" ", "path = \"/x") {
			b.WriteString("    path = \"/\"\n")
		}
		if len(words) > 2 {
			b.WriteString("    after = [\"" + strings.Join(words[2:], "\", \"") + "\"]\n")
		}
		b.WriteString("    " + strings.ReplaceAll(strings.TrimSpace(rest), "; ", "\n    ") + "\n  }\n")
	}
	return b.String() + "}\n"
}

// cutMark removes the mark ~ from a text, and returns the line and column where it was.
func cutMark(text string) (string, int, int) {
	before, after, found := strings.Cut(text, "~")
	if !found {
		return text, 0, 0
	}
	line := strings.Count(before, "\n")
	return before + after, line + 1, len(before) - strings.LastIndex(before, "\n")
}

const (
	again = `rerun "a" {; when = try(result.lost, false) && end == "failed"; most = 1; }`
	never = `rerun "a" {; when = end == "full"; most = 1; }`
)

// TestProblems checks that each mistake gives a single problem at its place, which states how
// to correct it. Cases without an expected problem are valid plans.
func TestProblems(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	for _, c := range []struct{ text, want string }{
		{stages("a safe:"), ""},
		// Syntax and attributes.
		{"plan \"p\" {\n within = ~\n}", "invalid expression"},
		{"~", `no plan: write plan "NAME" { ... }`},
		{`~plan "p" {` + "\nwithin = \"1s\"\nattempts = 1\n}", `plan "p" has no stage`},
		{`~plan {` + "\nwithin = \"1s\"\nattempts = 1\nstage \"a\" {\nclass = \"safe\"\npath = \"/\"\n}\n}", `a plan has one name: plan "NAME" { ... }`},
		{strings.Replace(stages("a safe:"), `"10m"`, `~"10 minutes"`, 1), `within = "10 minutes" must be a time from 1ms to 24h, as in "250ms"`},
		{strings.Replace(stages("a safe:"), `1000`, `~1.5`, 1), "attempts must be a whole number from 1 to 10000000"},
		{stages("a safe: ~retrys = 1"), `a stage has no "retrys"; did you mean "retry"?`},
		{stages("a safe: ~retry = 1"), "retry is a block: retry { ... }, without ="},
		{stages("a safe: ~each {; }"), `a stage has no block "each"; write each = ...`},
		{stages("a safe: ~most = 3"), "most is for a stage with each"},
		{stages("a safe: each = input.l; most = 3; at_least = ~4"), "at_least must be a whole number from 1 to 3"},
		{stages("a safe: cost = ~input.x"), "cost must be written out, not computed"},
		{stages("a safe:") + "~" + stages("a safe:"), `plan "p" is defined twice`},
		{strings.Replace(stages("x safe:", "y safe:"), `stage "y"`, `~stage "x"`, 1), `stage "x" is defined twice`},
		{stages("a safe: body = " + strings.Repeat("[", 30) + "~[" + strings.Repeat("]", 31)), "nested more than 32 deep"},
		{stages("a safe: body = " + "~" + strings.Repeat("1 + ", 300) + "1"), "an expression of more than 512 parts"},
		{stages("a safe: body = input~[*][*].x"), "[*] within [*] is not allowed in a plan"},
		{stages("a safe: body = <<E\n" + strings.Repeat("x\n", 512) + "~x\nE"), "a text of more than 512 lines"},
		{stages("a safe: body = ~[for x in input : x]"), "for is not allowed in a plan"},
		{stages("a safe: body = \"~%{ if true }x%{ endif }\""), "%{ } is not allowed in a plan"},
		// Unknown, unavailable and reserved names.
		{strings.Replace(stages("a saef:"), `"saef"`, `~"saef"`, 1), `unknown class "saef"; did you mean "safe"?`},
		{strings.Replace(stages("hold safe:", "b safe hodl:"), `"hodl"`, `~"hodl"`, 1), `unknown stage "hodl"; did you mean "hold"?`},
		{stages("a safe: body = ~inptu.x"), `unknown name "inptu"; did you mean "input"?`},
		{stages("a safe: body = ~lenght(input.x)"), `unknown function "lenght"; did you mean "length"?`}, //nolint:misspell // the mistake that is found
		{stages("a safe: body = ~item"), "item is known where a stage is run for each entry of a list: add each"},
		{stages("a safe: body = ~result.x"), "result is known in the when of a rerun only"},
		{stages("a safe:", "b safe: body = ~a.x"), `the result of "a" can't be used by "b", which does not come after it: add it to after`},
		{stages("a safe: body = ~a.x"), `stage "a" can't use its own result`},
		{strings.Replace(stages("input safe:"), `"input"`, `~"input"`, 1), `a stage can't be named "input"`},
		{stages("a safe: retry {; on = [~\"faild\"]; most = 1; }"), `unknown end "faild"; did you mean "failed"?`},
		{stages("a safe: retry {; on = [~\"worse\"]; most = 1; }"), `unknown end "worse"; one of refused, full, unsent, late, failed, reset, may_have_run, lost_input`},
		{stages("a safe: retry {; on = [~\"done\"]; most = 1; }"), "done is no bad end"},
		{stages("a safe: retry {; on = [\"full\"]; most = 1; where = ~\"elsewhere\"; }"), `unknown where "elsewhere"; one of anywhere, other_member, other_zone`},
		// Order of the stages: cycles, unknown stages and missing dependencies.
		{strings.Replace(stages("a safe c:", "b safe a:", "c safe b:"), `["a"]`, `[~"a"]`, 1), "a cycle: a after c after b after a: one of them must not come after the next"},
		{strings.Replace(stages("hold safe:", "b safe hodl: body = hold.x; "+strings.Replace(again, "\"a\"", "\"hold\"", 1), "c safe b: body = hold"), `"hodl"`, `~"hodl"`, 1), `unknown stage "hodl"`},
		{strings.Replace(stages("a safe a:"), `["a"]`, `[~"a"]`, 1), "comes after itself"},
		{stages("c safe b:", "b safe a:", "a safe:"), ""},
		{stages("a safe:", "b safe: "+strings.Replace(again, `"a"`, `~"a"`, 1)), `stage "b" does not come after "a"`},
		// Constant values.
		{stages("a safe: body = 1 + ~[2]"), "invalid operand: Unsuitable value for right operand: number required, but have tuple"},
		{stages("a keyed: key = ~\"\""), `key: "" is no key`},
		{stages("a safe: body = format(\"~%999d\", 1)"), "numbers of 2 digits"},
		// Rules that never apply.
		{stages("a safe: retry {; on = [\"full\", \"late\"]; most = 1; }; ~retry {; on = [\"late\"]; most = 1; }"), "this retry never applies: earlier ones cover late"},
		{stages("a safe: retry {; on = [~\"lost_input\"]; most = 1; }"), `"a" can't end as lost_input`},
		{stages("a safe: retry {; on = [~\"may_have_run\"]; most = 1; }"), `"a" is idempotent and can't end as may_have_run`},
		{stages("a safe:", "b safe a: "+again+"; retry {; on = [\"lost_input\"]; most = 1; }"), ""},
		{stages("a safe:", "b safe a: rerun \"a\" {; when = end == ~\"flaed\"; most = 1; }"), `unknown end "flaed"`},
		{stages("a safe:", "b safe a: rerun \"a\" {; when = end == ~\"lost_input\"; most = 1; }"), "that is what an end becomes"},
		{stages("a safe:", "b safe a: rerun \"a\" {; when = ~end == \"late\" && end == \"full\"; most = 1; }"), "when never holds"},
		{stages("a safe:", "b safe a: rerun \"a\" {; when = ~end != \"late\"; most = 1; }"), "could never succeed"},
		{stages("a safe:", "b safe a: rerun \"a\" {; when = length(present([result])) == 1; most = 1; }"), ""},
		{stages("a safe:", "b safe a: rerun \"a\" {; when = ~input.x; most = 1; }"), `when can use only end and result, not "input"`},
		{stages("a safe:", "b safe a: "+again+"; rerun ~\"a\" {; when = end == \"full\"; most = 1; }"), "run again by two rules"},
		{stages("a safe:", "b safe:", "c safe a: rerun ~\"b\" {; when = end == \"full\"; most = 1; }"), `stage "c" does not come after "b"`},
		// At-most-once stages.
		{stages("a once: retry {; on = [\"full\", ~\"late\"]; most = 1; }"), `"a" must never run twice, and after "late" it may have run: it may be tried again on refused, full, unsent only`},
		{stages("a once: retry {; on = [\"full\", ~\"may_have_run\"]; most = 1; }"), "must never run twice"},
		{stages("a once: retry {; on = [\"refused\", \"full\", \"unsent\"]; most = 1; }"), ""},
		{stages("a once: shared = ~input.x; shared_for = \"1s\""), "plans can't share it"},
		{stages("a once:", "b safe a: "+strings.Replace(again, `"a"`, `~"a"`, 1)), `a rerun of "a" would run "a" again, which must never run twice: it has run before "b"`},
		{stages("a safe:", "o once a:", "b safe o: "+strings.Replace(again, `"a"`, `~"a"`, 1)), `it has run before "b"; put it after`},
		{stages("a safe:", "o once a:", "b safe a: "+strings.Replace(again, `"a"`, `~"a"`, 1)), `it may run beside "b"; put it after`},
		{stages("a safe:", "b safe a: "+again, "o once b:"), ""},
		{stages("a safe:", "b safe a: each = input.l; most = 3; at_least = 1; "+again, "o once b:"), ""},
		{stages("a safe:", "o once a: "+strings.Replace(again, `"a"`, `~"a"`, 1)), `when may hold after "failed", and then it may have run`},
		{stages("a safe:", "o once a: "+never), ""},
		{stages("a safe:", "o once a: each = input.l; most = 2; "+strings.Replace(never, `"a"`, `~"a"`, 1)), "others of its items may have run"},
		{stages("a safe: ~undo {; class = \"once\"; path = \"/\"; most = 2; }"), "most must be 1, not 2"},
		// Deduplication keys, and keys of shared stages.
		{strings.Replace(stages("a keyed:"), `stage "a"`, `~stage "a"`, 1), `class "keyed" drops repeats by key: add key = ...`},
		{stages("a keyed: key = input.k"), ""},
		{stages("a safe: key = ~input.k"), `class "safe" is idempotent, where a key changes nothing`},
		{stages("a safe:", "k keyed a: key = a.id"), ""},
		{stages("a safe:", "b safe a: "+again, "k keyed b: key = ~a.id"), `the key of "k" uses the result of "a", which a rerun may change`},
		{stages("a safe:", "b safe a: "+again, "k keyed b: each = a.l; most = 2; key = ~item"), `of a list from the result of "a"`},
		{stages("a safe:", "b safe a: "+again, "c safe b:", "k keyed c: key = c.id"), ""},
		{stages("k keyed: each = input.l; most = 2; key = ~input.k"), "make item part of it"},
		{stages("k keyed: key = input.k; undo {; class = \"keyed\"; path = \"/\"; key = ~input.k; }"), "dropped as a repeat"},
		{stages("k safe: ~undo {; class = \"keyed\"; path = \"/\"; }"), "drops repeats by key"},
		{stages("a safe:", "b safe a: "+again+"; undo {; class = \"safe\"; path = \"/\"; body = [input, ~a.id]; }"), `the undo of "b" uses the result of "a", which may be gone by then`},
		{stages("k zoned: key = input.k; retry {; on = [\"full\", ~\"late\"]; most = 1; where = \"other_zone\"; }"), `the key of "zoned" holds in its zone`},
		{stages("k keyed: key = input.k; retry {; on = [\"late\"]; most = 1; where = \"other_zone\"; }"), ""},
		{stages("a safe: shared = ~input.k; shared_for = \"1s\"; each = input.l; most = 2"), "which plans can't share"},
		{strings.Replace(stages("a safe:", "b safe a: shared = input.k; shared_for = \"1s\""), `["a"]`, `[~"a"]`, 1), `"b" is shared and comes after "a", which is not`},
		{stages("a safe: shared = input.k; shared_for = \"1s\"", "k keyed a: key = ~a.id"), "which a rerun may change"},
		// The plan's bounds of attempts and time.
		{strings.Replace(stages("a safe: each = input.l; most = 500; retry {; on = [\"full\"]; most = 2; }"), "1000", "~1000", 1), `plan "p" may take 1500 attempts, above its bound of 1000`},
		{strings.Replace(stages("a safe: retry {; on = [\"full\"]; most = 2; wait = \"5m\"; wait_at_most = \"6m\"; jitter = 0.5; }"), `"10m"`, `~"10m"`, 1), `plan "p" may take 16m36s, above its bound of 10m0s`},
		{strings.Replace(stages("a endless:"), `"endless"`, `~"endless"`, 1), `class "endless" gives up after 0s`},
	} {
		text, line, column := cutMark(c.text)
		plans, problems := Parse("p.hcl", []byte(text), classes)
		if c.want == "" {
			require.Empty(t, problems, c.text)
			require.Len(t, plans, 1, c.text)
			continue
		}
		require.Len(t, problems, 1, "%s\n%v", c.text, problems)
		require.Contains(t, problems[0].Text, c.want, c.text)
		require.Equal(t, [2]int{line, column}, [2]int{problems[0].Line, problems[0].Column}, "%s\n%v", text, problems)
	}
}

// TestProblemsAtOnce checks that all mistakes of a plan are reported together, in the order of
// the file.
func TestProblemsAtOnce(t *testing.T) {
	_, problems := Parse("p.hcl", []byte(stages("a safe b:", "c once d: retry {; on = [\"late\"]; most = 1; }", "b keyed: body = x")), classes)
	require.Len(t, problems, 4, problems)
	for i, want := range []string{`unknown stage "d"`, `must never run twice`, `add key`, `unknown name "x"`} {
		require.Contains(t, problems[i].Text, want)
	}
}

// example returns the text of an example file, and the classes that its plans need.
func example(t testing.TB, name string) (text string, list []policy.Class) {
	read, err := os.ReadFile("../../../../deploy/" + name)
	require.NoError(t, err)
	if strings.Contains(name, "archive") {
		lab, err := os.ReadFile("../../../../experiments/archive.json")
		require.NoError(t, err)
		e, err := settings.DecodeExperiment(lab)
		require.NoError(t, err)
		return string(read), e.Settings.Classes
	}
	c, err := settings.DecodeConfig([]byte(`{"settings":` + scenario.Settings + `}`))
	require.NoError(t, err)
	return string(read), c.Settings.Classes
}
