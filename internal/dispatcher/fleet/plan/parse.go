package plan

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/policy"

	"github.com/agext/levenshtein"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// Bounds of a plan file. With those on values they bound what any plan may cost
// to read, to check and to evaluate.
const (
	mostText     = 256 << 10
	mostTokens   = 32768
	mostNested   = 32  // brackets and templates within one another
	mostNodes    = 512 // of an expression
	mostPlans    = 64
	mostStages   = 64 // of a plan; sets of stages are bits of a word
	mostRules    = 8  // of a kind, of a stage
	mostTries    = 100
	mostItems    = 4096 // over all stages of a plan
	mostAttempts = 10_000_000
	longest      = 24 * time.Hour
	longestName  = 64
)

// Problem is one thing that is wrong in a plan file, and what would be right.
type Problem struct {
	File         string
	Line, Column int // counted from 1
	Text         string
}

// String returns the problem in the form that editors find their way by.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Text)
}

// Parse reads the plans of a file and checks them against the classes in service.
// It names all that is wrong, in the order of the file. A plan with a problem is
// refused whole; the others are returned. A file that can't be read has no plans.
func Parse(name string, text []byte, classes map[string]policy.Class) ([]*Plan, []Problem) {
	f := &file{name: name, text: text, classes: classes}
	if !f.bounded() {
		return nil, f.problems
	}
	read, diags := hclparse.NewParser().ParseHCL(text, name)
	f.diagnose(diags)
	if len(f.problems) == 0 && len(classes) == 0 {
		f.fail(hcl.Range{}, "the classes that its stages name are not known, and what may run again depends on them: name the configuration that has them (config check --config FILE)")
	}
	if len(f.problems) > 0 {
		return nil, f.problems
	}
	plans := f.plans(read.Body.(*hclsyntax.Body))
	slices.SortStableFunc(f.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return plans, slices.Compact(f.problems)
}

// file is a plan file while it is read.
type file struct {
	name     string
	text     []byte
	classes  map[string]policy.Class
	problems []Problem
}

func (f *file) fail(at hcl.Range, format string, args ...any) {
	f.problems = append(f.problems, Problem{f.name, max(at.Start.Line, 1), max(at.Start.Column, 1), fmt.Sprintf(format, args...)})
}

// diagnose takes in what the library found.
func (f *file) diagnose(diags hcl.Diagnostics) {
	for _, d := range diags {
		if d.Severity != hcl.DiagError {
			continue
		}
		var at hcl.Range
		if d.Subject != nil {
			at = *d.Subject
		}
		f.fail(at, "%s", oneLine(d))
	}
}

// oneLine is a diagnostic as one line.
func oneLine(d *hcl.Diagnostic) string {
	text := strings.Join(strings.Fields(d.Detail), " ")
	return lowered(strings.TrimSuffix(d.Summary, ".")) + ": " + strings.TrimSuffix(text, ".")
}

func lowered(text string) string {
	if text == "" {
		return "error"
	}
	return strings.ToLower(text[:1]) + text[1:]
}

// bounded looks at the words of a file before the library builds a tree of them:
// the library descends once for each bracket.
func (f *file) bounded() bool {
	if len(f.text) > mostText {
		f.fail(hcl.Range{}, "the file has %d bytes; at most %d are read: split it", len(f.text), mostText)
		return false
	}
	words, _ := hclsyntax.LexConfig(f.text, f.name, hcl.InitialPos) // what it finds, the parser finds again
	if len(words) > mostTokens {
		f.fail(words[mostTokens].Range, "the file has more than %d words and signs: split it", mostTokens)
		return false
	}
	var depth, prefixes, lines int
	for _, w := range words {
		switch w.Type {
		case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack, hclsyntax.TokenOParen, hclsyntax.TokenTemplateInterp,
			hclsyntax.TokenOQuote, hclsyntax.TokenOHeredoc:
			depth++
		case hclsyntax.TokenCBrace, hclsyntax.TokenCBrack, hclsyntax.TokenCParen, hclsyntax.TokenTemplateSeqEnd,
			hclsyntax.TokenCQuote, hclsyntax.TokenCHeredoc:
			depth--
		case hclsyntax.TokenTemplateControl:
			f.fail(w.Range, "%%{ } has no place in a plan: use a condition, a ? b : c")
			return false
		}
		switch w.Type {
		case hclsyntax.TokenOHeredoc:
			lines = 0
		case hclsyntax.TokenStringLit: // the library joins them one by one
			if lines++; lines > mostNodes {
				f.fail(w.Range, "a text of more than %d lines: send what is that long as a result or as input", mostNodes)
				return false
			}
		case hclsyntax.TokenBang, hclsyntax.TokenMinus, hclsyntax.TokenQuestion:
			prefixes++
		case hclsyntax.TokenEqual, hclsyntax.TokenComma:
			prefixes = 0
		}
		if depth > mostNested || prefixes > mostNested {
			f.fail(w.Range, "nested more than %d deep", mostNested)
			return false
		}
	}
	return true
}

func (f *file) plans(top *hclsyntax.Body) []*Plan {
	b := f.body(top, "a plan file")
	blocks := b.blocks("plan", mostPlans)
	b.rest()
	if len(blocks) == 0 {
		f.fail(top.Range(), "no plan: write plan \"NAME\" { ... }")
	}
	var plans []*Plan
	names := map[string]bool{}
	for _, block := range blocks {
		before := len(f.problems)
		p := f.plan(block)
		if names[p.Name] {
			f.fail(block.DefRange(), "plan %q is there twice: give each a name of its own", p.Name)
		}
		names[p.Name] = true
		if len(f.problems) == before {
			check(f, p)
		}
		if len(f.problems) == before {
			plans = append(plans, p)
		}
	}
	return plans
}

func (f *file) plan(block *hclsyntax.Block) *Plan {
	p := &Plan{Name: f.label(block, "plan"), ByName: map[string]*Stage{}}
	b := f.body(block.Body, "a plan")
	p.Within = b.span("within", true, time.Millisecond, longest, 0)
	p.Most = b.whole("attempts", true, 1, mostAttempts, 0)
	p.at = map[string]hcl.Range{}
	for name, a := range block.Body.Attributes {
		p.at[name] = a.Expr.Range()
	}
	blocks := b.blocks("stage", mostStages)
	b.rest()
	if len(blocks) == 0 {
		f.fail(block.DefRange(), "plan %q has no stage: it needs at least one", p.Name)
	}
	for _, at := range blocks {
		s := f.stage(at)
		switch {
		case slices.Contains(reserved, s.Name):
			f.fail(at.LabelRanges[0], "a stage can't be named %q: expressions know that name already; choose another", s.Name)
		case p.ByName[s.Name] != nil:
			f.fail(at.DefRange(), "stage %q is there twice: give each a name of its own", s.Name)
		default:
			p.ByName[s.Name] = s
			p.Stages = append(p.Stages, s)
		}
	}
	sum := xxhash.New()
	sum.Write(hcl.RangeBetween(block.TypeRange, block.CloseBraceRange).SliceBytes(f.text))
	for _, name := range slices.Sorted(maps.Keys(f.classes)) {
		if p.names(name) {
			fmt.Fprintf(sum, "%+v", f.classes[name])
		}
	}
	p.Digest = sum.Sum64()
	return p
}

// names tells whether the plan names a class.
func (p *Plan) names(class string) bool {
	return slices.ContainsFunc(p.Stages, func(s *Stage) bool {
		return s.Class == class || s.Undo != nil && s.Undo.Class == class
	})
}

func (f *file) stage(block *hclsyntax.Block) *Stage {
	s := &Stage{Name: f.label(block, "stage"), Range: block.DefRange()}
	b := f.body(block.Body, "a stage")
	class := f.class(b)
	s.Class, s.Effect, s.GiveUp = class.Name, class.Effect, class.GiveUp
	s.After, s.afterAt = b.words("after", false)
	s.Path, s.Body, s.Key = b.expr("path", true), b.expr("body", false), b.expr("key", false)
	s.Cost = b.span("cost", false, 0, longest, 0)
	if s.Each = b.expr("each", false); s.Each != nil {
		s.MostEach = b.whole("most", true, 1, mostList, 0)
		s.AtLeast = b.whole("at_least", false, 1, max(s.MostEach, 1), 0)
	} else {
		for _, name := range []string{"most", "at_least"} {
			if a := b.take(name); a != nil {
				f.fail(a.NameRange, "%s is for a stage with each: add each, the list that it is run for, or leave it out", name)
			}
		}
	}
	if s.Shared = b.expr("shared", false); s.Shared != nil {
		s.SharedFor = b.span("shared_for", true, time.Millisecond, longest, 0)
	} else if a := b.take("shared_for"); a != nil {
		f.fail(a.NameRange, "shared_for is for a stage with shared: add shared, the key that plans share it by, or leave it out")
	}
	for _, at := range b.blocks("retry", mostRules) {
		s.Retries = append(s.Retries, f.retry(at))
	}
	for _, at := range b.blocks("rerun", mostRules) {
		s.Reruns = append(s.Reruns, f.rerun(at))
	}
	for _, at := range b.blocks("undo", 1) {
		s.Undo = f.undo(at)
	}
	b.rest()
	return s
}

func (f *file) retry(block *hclsyntax.Block) Retry {
	b, r := f.body(block.Body, "a retry"), Retry{Range: block.DefRange()}
	f.noLabel(block)
	words, at := b.words("on", true)
	for i, w := range words {
		e := End(w)
		switch {
		case !slices.Contains(ends, e):
			f.fail(at[i], "unknown end %q%s", w, instead(w, endWords[1:]))
		case e == Done:
			f.fail(at[i], "done is no bad end: a stage that is done is not tried again; on takes some of %s", strings.Join(endWords[1:], ", "))
		case slices.Contains(r.On, e):
			f.fail(at[i], "%q is there twice: leave one out", w)
		default:
			r.On, r.onAt = append(r.On, e), append(r.onAt, at[i])
		}
	}
	if len(words) == 0 && b.has("on") {
		f.fail(b.at.Attributes["on"].Range(), "on is empty: name the ends that the stage is tried again on, some of %s", strings.Join(endWords[1:], ", "))
	}
	r.Most = b.whole("most", true, 1, mostTries, 0)
	r.Wait = b.span("wait", false, 0, longest, 0)
	r.WaitAtMost = b.span("wait_at_most", false, r.Wait, longest, longest)
	r.Jitter = math.Round(b.share("jitter")*1000) / 1000
	r.Where = Place(b.word("where", string(Anywhere), []string{string(Anywhere), string(OtherMember), string(OtherZone)}))
	b.rest()
	return r
}

func (f *file) rerun(block *hclsyntax.Block) Rerun {
	b, r := f.body(block.Body, "a rerun"), Rerun{Range: block.DefRange(), ofAt: block.DefRange()}
	if len(block.Labels) != 1 {
		f.fail(block.DefRange(), `a rerun names the stage that is run again: rerun "NAME" { ... }`)
	} else {
		r.Of, r.ofAt = block.Labels[0], block.LabelRanges[0]
	}
	r.When = b.expr("when", true)
	r.Most = b.whole("most", true, 1, mostTries, 0)
	b.rest()
	return r
}

func (f *file) undo(block *hclsyntax.Block) *Undo {
	b, u := f.body(block.Body, "an undo"), &Undo{Range: block.DefRange()}
	f.noLabel(block)
	class := f.class(b)
	u.Class, u.Effect, u.GiveUp = class.Name, class.Effect, class.GiveUp
	u.Path, u.Body, u.Key = b.expr("path", true), b.expr("body", false), b.expr("key", false)
	u.Most = b.whole("most", false, 1, mostTries, 1)
	u.Wait = b.span("wait", false, 0, longest, 0)
	b.rest()
	return u
}

// label is the one name of a block.
func (f *file) label(block *hclsyntax.Block, what string) string {
	switch {
	case len(block.Labels) != 1:
		f.fail(block.DefRange(), "a %s has one name: %s \"NAME\" { ... }", what, what)
		return ""
	case !hclsyntax.ValidIdentifier(block.Labels[0]) || len(block.Labels[0]) > longestName:
		f.fail(block.LabelRanges[0], "%q is no name: a letter, then letters, digits, - and _, at most %d", block.Labels[0], longestName)
	}
	return block.Labels[0]
}

func (f *file) noLabel(block *hclsyntax.Block) {
	if len(block.Labels) > 0 {
		f.fail(block.LabelRanges[0], "%s has no name: %s { ... }", block.Type, block.Type)
	}
}

// class reads the class that a stage or an undo names.
func (f *file) class(b *body) policy.Class {
	name := b.text("class", true)
	if name == "" {
		return policy.Class{}
	}
	at := b.at.Attributes["class"].Expr.Range()
	class, known := f.classes[name]
	switch {
	case !known:
		f.fail(at, "unknown class %q%s", name, instead(name, slices.Sorted(maps.Keys(f.classes))))
	case class.GiveUp <= 0 || class.GiveUp > longest:
		f.fail(at, "class %q gives up after %s: a plan needs a class whose give-up time is above 0 and at most %s", name, class.GiveUp, longest)
	}
	class.Name = name
	return class
}

// instead says what would be right.
func instead(word string, right []string) string {
	for _, r := range right {
		if levenshtein.Distance(word, r, nil) < 3 {
			return fmt.Sprintf("; did you mean %q?", r)
		}
	}
	if len(right) == 0 {
		return "; there is none"
	}
	return "; one of " + strings.Join(right, ", ")
}

// body is a block's body while it is read: what was asked for is known, the rest
// is named.
type body struct {
	*file
	at     *hclsyntax.Body
	what   string
	attrs  []string
	inside []string
}

func (f *file) body(at *hclsyntax.Body, what string) *body { return &body{file: f, at: at, what: what} }

func (b *body) has(name string) bool { return b.at.Attributes[name] != nil }

func (b *body) take(name string) *hclsyntax.Attribute {
	b.attrs = append(b.attrs, name)
	return b.at.Attributes[name]
}

func (b *body) blocks(kind string, most int) (found []*hclsyntax.Block) {
	b.inside = append(b.inside, kind)
	for _, block := range b.at.Blocks {
		if block.Type == kind {
			found = append(found, block)
		}
	}
	if len(found) > most {
		b.fail(found[most].DefRange(), "%s has at most %d of %s", b.what, most, kind)
		found = found[:most]
	}
	return found
}

// rest names what nothing reads.
func (b *body) rest() {
	for _, name := range slices.Sorted(maps.Keys(b.at.Attributes)) {
		if !slices.Contains(b.attrs, name) {
			hint := instead(name, append(slices.Clone(b.attrs), b.inside...))
			if slices.Contains(b.inside, name) {
				hint = fmt.Sprintf("; %s is a block: %s { ... }, without =", name, name)
			}
			b.fail(b.at.Attributes[name].NameRange, "%s has no %q%s", b.what, name, hint)
		}
	}
	for _, block := range b.at.Blocks {
		if !slices.Contains(b.inside, block.Type) {
			hint := instead(block.Type, append(slices.Clone(b.inside), b.attrs...))
			if slices.Contains(b.attrs, block.Type) {
				hint = fmt.Sprintf("; write %s = ...", block.Type)
			}
			b.fail(block.TypeRange, "%s has no block %q%s", b.what, block.Type, hint)
		}
	}
}

// expr is an expression that is evaluated later.
func (b *body) expr(name string, need bool) hcl.Expression {
	a := b.take(name)
	if a == nil {
		if need {
			b.fail(b.at.MissingItemRange(), "%s needs %s", b.what, name)
		}
		return nil
	}
	return a.Expr
}

// constant is a value that is known now.
func (b *body) constant(name string, need bool, as cty.Type, right string) (cty.Value, hcl.Range, bool) {
	e := b.expr(name, need)
	if e == nil {
		return cty.NilVal, hcl.Range{}, false
	}
	if !b.plain(e) {
		return cty.NilVal, hcl.Range{}, false
	}
	if len(e.Variables()) > 0 {
		b.fail(e.Range(), "%s must be written out, not computed: %s", name, right)
		return cty.NilVal, hcl.Range{}, false
	}
	v, diags := value(e, nil)
	if diags.HasErrors() {
		b.diagnose(diags)
		return cty.NilVal, hcl.Range{}, false
	}
	if v.IsNull() || v.Type() != as {
		b.fail(e.Range(), "%s must be %s", name, right)
		return cty.NilVal, hcl.Range{}, false
	}
	return v, e.Range(), true
}

func (b *body) text(name string, need bool) string {
	v, _, ok := b.constant(name, need, cty.String, `text, as in "abc"`)
	if !ok {
		return ""
	}
	return v.AsString()
}

func (b *body) word(name, usual string, right []string) string {
	v, at, ok := b.constant(name, false, cty.String, "one of "+strings.Join(right, ", "))
	if !ok {
		return usual
	}
	if !slices.Contains(right, v.AsString()) {
		b.fail(at, "unknown %s %q%s", name, v.AsString(), instead(v.AsString(), right))
	}
	return v.AsString()
}

func (b *body) number(name string, need bool, least, most, usual float64, right string) float64 {
	v, at, ok := b.constant(name, need, cty.Number, right)
	if !ok {
		return usual
	}
	n, _ := v.AsBigFloat().Float64()
	if n < least || n > most {
		b.fail(at, "%s must be %s", name, right)
		return usual
	}
	return n
}

func (b *body) whole(name string, need bool, least, most, usual int) int {
	right := fmt.Sprintf("a whole number from %d to %d", least, most)
	n := b.number(name, need, float64(least), float64(most), float64(usual), right)
	if n != math.Trunc(n) {
		b.fail(b.at.Attributes[name].Expr.Range(), "%s must be %s", name, right)
	}
	return int(n)
}

func (b *body) share(name string) float64 {
	return b.number(name, false, 0, 1, 0, "a number from 0 to 1")
}

func (b *body) span(name string, need bool, least, most, usual time.Duration) time.Duration {
	right := fmt.Sprintf(`a time from %s to %s, as in "250ms", "2s" or "1m30s"`, short(least), short(most))
	v, at, ok := b.constant(name, need, cty.String, right)
	if !ok {
		return usual
	}
	d, err := time.ParseDuration(v.AsString())
	if err != nil || d < least || d > most {
		b.fail(at, "%s = %q must be %s", name, v.AsString(), right)
		return usual
	}
	return d
}

// words is a list of texts, and where each is.
func (b *body) words(name string, need bool) (words []string, at []hcl.Range) {
	e := b.expr(name, need)
	if e == nil {
		return nil, nil
	}
	list, ok := e.(*hclsyntax.TupleConsExpr)
	if !ok {
		b.fail(e.Range(), `%s must be a list of texts, as in ["a", "b"]`, name)
		return nil, nil
	}
	if len(list.Exprs) > mostStages {
		b.fail(e.Range(), "%s has at most %d entries", name, mostStages)
		return nil, nil
	}
	for _, one := range list.Exprs {
		if v, diags := value(one, nil); !diags.HasErrors() && !v.IsNull() && v.Type() == cty.String && v.IsKnown() {
			words, at = append(words, v.AsString()), append(at, one.Range())
			continue
		}
		b.fail(one.Range(), `%s must be a list of texts, as in ["a", "b"]`, name)
	}
	return words, at
}

// short is a time without what is 0 at its end.
func short(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
