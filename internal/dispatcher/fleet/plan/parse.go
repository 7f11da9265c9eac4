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
	maxFileSize        = 256 << 10
	maxTokens          = 32768
	maxNesting         = 32  // brackets and templates within one another
	maxExpressionNodes = 512 // of an expression
	maxPlans           = 64
	maxStages          = 64 // of a plan; sets of stages are bits of a word
	maxRules           = 8  // of a kind, of a stage
	maxTries           = 100
	maxItems           = 4096 // over all stages of a plan
	maxAttempts        = 10_000_000
	maxDuration        = 24 * time.Hour
	maxNameLength      = 64
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
	f := &fileParser{name: name, text: text, classes: classes}
	if !f.checkBounds() {
		return nil, f.problems
	}
	read, diags := hclparse.NewParser().ParseHCL(text, name)
	f.addDiagnostics(diags)
	if len(f.problems) == 0 && len(classes) == 0 {
		f.addProblem(hcl.Range{}, "the classes that its stages name are not known, and what may run again depends on them: name the configuration that has them (config check --config FILE)")
	}
	if len(f.problems) > 0 {
		return nil, f.problems
	}
	plans := f.parsePlans(read.Body.(*hclsyntax.Body))
	slices.SortStableFunc(f.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return plans, slices.Compact(f.problems)
}

// fileParser is a plan file while it is read.
type fileParser struct {
	name     string
	text     []byte
	classes  map[string]policy.Class
	problems []Problem
}

func (f *fileParser) addProblem(at hcl.Range, format string, args ...any) {
	f.problems = append(f.problems, Problem{f.name, max(at.Start.Line, 1), max(at.Start.Column, 1), fmt.Sprintf(format, args...)})
}

// addDiagnostics takes in what the library found.
func (f *fileParser) addDiagnostics(diags hcl.Diagnostics) {
	for _, d := range diags {
		if d.Severity != hcl.DiagError {
			continue
		}
		var at hcl.Range
		if d.Subject != nil {
			at = *d.Subject
		}
		f.addProblem(at, "%s", diagnosticText(d))
	}
}

// diagnosticText is a diagnostic as one line.
func diagnosticText(d *hcl.Diagnostic) string {
	text := strings.Join(strings.Fields(d.Detail), " ")
	return lowerFirst(strings.TrimSuffix(d.Summary, ".")) + ": " + strings.TrimSuffix(text, ".")
}

func lowerFirst(text string) string {
	if text == "" {
		return "error"
	}
	return strings.ToLower(text[:1]) + text[1:]
}

// checkBounds looks at the words of a file before the library builds a tree of them:
// the library descends once for each bracket.
func (f *fileParser) checkBounds() bool {
	if len(f.text) > maxFileSize {
		f.addProblem(hcl.Range{}, "the file has %d bytes; at most %d are read: split it", len(f.text), maxFileSize)
		return false
	}
	words, _ := hclsyntax.LexConfig(f.text, f.name, hcl.InitialPos) // what it finds, the parser finds again
	if len(words) > maxTokens {
		f.addProblem(words[maxTokens].Range, "the file has more than %d words and signs: split it", maxTokens)
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
			f.addProblem(w.Range, "%%{ } has no place in a plan: use a condition, a ? b : c")
			return false
		}
		switch w.Type {
		case hclsyntax.TokenOHeredoc:
			lines = 0
		case hclsyntax.TokenStringLit: // the library joins them one by one
			if lines++; lines > maxExpressionNodes {
				f.addProblem(w.Range, "a text of more than %d lines: send what is that long as a result or as input", maxExpressionNodes)
				return false
			}
		case hclsyntax.TokenBang, hclsyntax.TokenMinus, hclsyntax.TokenQuestion:
			prefixes++
		case hclsyntax.TokenEqual, hclsyntax.TokenComma:
			prefixes = 0
		}
		if depth > maxNesting || prefixes > maxNesting {
			f.addProblem(w.Range, "nested more than %d deep", maxNesting)
			return false
		}
	}
	return true
}

func (f *fileParser) parsePlans(top *hclsyntax.Body) []*Plan {
	b := f.newBodyReader(top, "a plan file")
	blocks := b.blocks("plan", maxPlans)
	b.reportUnread()
	if len(blocks) == 0 {
		f.addProblem(top.Range(), "no plan: write plan \"NAME\" { ... }")
	}
	var plans []*Plan
	names := map[string]bool{}
	for _, block := range blocks {
		before := len(f.problems)
		p := f.parsePlan(block)
		if names[p.Name] {
			f.addProblem(block.DefRange(), "plan %q is there twice: give each a name of its own", p.Name)
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

func (f *fileParser) parsePlan(block *hclsyntax.Block) *Plan {
	p := &Plan{Name: f.blockLabel(block, "plan"), ByName: map[string]*Stage{}}
	b := f.newBodyReader(block.Body, "a plan")
	p.Timeout = b.duration("within", true, time.Millisecond, maxDuration, 0)
	p.MaxAttempts = b.integer("attempts", true, 1, maxAttempts, 0)
	p.boundRanges = map[string]hcl.Range{}
	for name, a := range block.Body.Attributes {
		p.boundRanges[name] = a.Expr.Range()
	}
	blocks := b.blocks("stage", maxStages)
	b.reportUnread()
	if len(blocks) == 0 {
		f.addProblem(block.DefRange(), "plan %q has no stage: it needs at least one", p.Name)
	}
	for _, at := range blocks {
		s := f.parseStage(at)
		switch {
		case slices.Contains(reservedNames, s.Name):
			f.addProblem(at.LabelRanges[0], "a stage can't be named %q: expressions know that name already; choose another", s.Name)
		case p.ByName[s.Name] != nil:
			f.addProblem(at.DefRange(), "stage %q is there twice: give each a name of its own", s.Name)
		default:
			p.ByName[s.Name] = s
			p.Stages = append(p.Stages, s)
		}
	}
	sum := xxhash.New()
	sum.Write(hcl.RangeBetween(block.TypeRange, block.CloseBraceRange).SliceBytes(f.text))
	for _, name := range slices.Sorted(maps.Keys(f.classes)) {
		if p.namesClass(name) {
			fmt.Fprintf(sum, "%+v", f.classes[name])
		}
	}
	p.Digest = sum.Sum64()
	return p
}

// namesClass tells whether the plan names a class.
func (p *Plan) namesClass(class string) bool {
	return slices.ContainsFunc(p.Stages, func(s *Stage) bool {
		return s.Class == class || s.Undo != nil && s.Undo.Class == class
	})
}

func (f *fileParser) parseStage(block *hclsyntax.Block) *Stage {
	s := &Stage{Name: f.blockLabel(block, "stage"), Range: block.DefRange()}
	b := f.newBodyReader(block.Body, "a stage")
	class := f.parseClass(b)
	s.Class, s.Effect, s.AttemptTimeout = class.Name, class.Effect, class.GiveUp
	s.After, s.afterRanges = b.stringList("after", false)
	s.Path, s.Body, s.Key = b.expression("path", true), b.expression("body", false), b.expression("key", false)
	s.Cost = b.duration("cost", false, 0, maxDuration, 0)
	if s.Each = b.expression("each", false); s.Each != nil {
		s.MaxItems = b.integer("most", true, 1, maxListLength, 0)
		s.MinSucceeded = b.integer("at_least", false, 1, max(s.MaxItems, 1), 0)
	} else {
		for _, name := range []string{"most", "at_least"} {
			if a := b.attribute(name); a != nil {
				f.addProblem(a.NameRange, "%s is for a stage with each: add each, the list that it is run for, or leave it out", name)
			}
		}
	}
	if s.Shared = b.expression("shared", false); s.Shared != nil {
		s.SharedFor = b.duration("shared_for", true, time.Millisecond, maxDuration, 0)
	} else if a := b.attribute("shared_for"); a != nil {
		f.addProblem(a.NameRange, "shared_for is for a stage with shared: add shared, the key that plans share it by, or leave it out")
	}
	for _, at := range b.blocks("retry", maxRules) {
		s.Retries = append(s.Retries, f.parseRetry(at))
	}
	for _, at := range b.blocks("rerun", maxRules) {
		s.Reruns = append(s.Reruns, f.parseRerun(at))
	}
	for _, at := range b.blocks("undo", 1) {
		s.Undo = f.parseUndo(at)
	}
	b.reportUnread()
	return s
}

func (f *fileParser) parseRetry(block *hclsyntax.Block) Retry {
	b, r := f.newBodyReader(block.Body, "a retry"), Retry{Range: block.DefRange()}
	f.rejectLabels(block)
	words, at := b.stringList("on", true)
	for i, w := range words {
		e := End(w)
		switch {
		case !slices.Contains(allEnds, e):
			f.addProblem(at[i], "unknown end %q%s", w, suggestion(w, endWords[1:]))
		case e == Done:
			f.addProblem(at[i], "done is no bad end: a stage that is done is not tried again; on takes some of %s", strings.Join(endWords[1:], ", "))
		case slices.Contains(r.On, e):
			f.addProblem(at[i], "%q is there twice: leave one out", w)
		default:
			r.On, r.onRanges = append(r.On, e), append(r.onRanges, at[i])
		}
	}
	if len(words) == 0 && b.hasAttribute("on") {
		f.addProblem(b.block.Attributes["on"].Range(), "on is empty: name the ends that the stage is tried again on, some of %s", strings.Join(endWords[1:], ", "))
	}
	r.MaxRetries = b.integer("most", true, 1, maxTries, 0)
	r.Wait = b.duration("wait", false, 0, maxDuration, 0)
	r.MaxWait = b.duration("wait_at_most", false, r.Wait, maxDuration, maxDuration)
	r.Jitter = math.Round(b.fraction("jitter")*1000) / 1000
	r.Where = Place(b.enumValue("where", string(Anywhere), []string{string(Anywhere), string(OtherMember), string(OtherZone)}))
	b.reportUnread()
	return r
}

func (f *fileParser) parseRerun(block *hclsyntax.Block) Rerun {
	b, r := f.newBodyReader(block.Body, "a rerun"), Rerun{Range: block.DefRange(), ofRange: block.DefRange()}
	if len(block.Labels) != 1 {
		f.addProblem(block.DefRange(), `a rerun names the stage that is run again: rerun "NAME" { ... }`)
	} else {
		r.Of, r.ofRange = block.Labels[0], block.LabelRanges[0]
	}
	r.When = b.expression("when", true)
	r.MaxReruns = b.integer("most", true, 1, maxTries, 0)
	b.reportUnread()
	return r
}

func (f *fileParser) parseUndo(block *hclsyntax.Block) *Undo {
	b, u := f.newBodyReader(block.Body, "an undo"), &Undo{Range: block.DefRange()}
	f.rejectLabels(block)
	class := f.parseClass(b)
	u.Class, u.Effect, u.AttemptTimeout = class.Name, class.Effect, class.GiveUp
	u.Path, u.Body, u.Key = b.expression("path", true), b.expression("body", false), b.expression("key", false)
	u.MaxTries = b.integer("most", false, 1, maxTries, 1)
	u.Wait = b.duration("wait", false, 0, maxDuration, 0)
	b.reportUnread()
	return u
}

// blockLabel is the one name of a block.
func (f *fileParser) blockLabel(block *hclsyntax.Block, what string) string {
	switch {
	case len(block.Labels) != 1:
		f.addProblem(block.DefRange(), "a %s has one name: %s \"NAME\" { ... }", what, what)
		return ""
	case !hclsyntax.ValidIdentifier(block.Labels[0]) || len(block.Labels[0]) > maxNameLength:
		f.addProblem(block.LabelRanges[0], "%q is no name: a letter, then letters, digits, - and _, at most %d", block.Labels[0], maxNameLength)
	}
	return block.Labels[0]
}

func (f *fileParser) rejectLabels(block *hclsyntax.Block) {
	if len(block.Labels) > 0 {
		f.addProblem(block.LabelRanges[0], "%s has no name: %s { ... }", block.Type, block.Type)
	}
}

// parseClass reads the class that a stage or an undo names.
func (f *fileParser) parseClass(b *bodyReader) policy.Class {
	name := b.stringValue("class", true)
	if name == "" {
		return policy.Class{}
	}
	at := b.block.Attributes["class"].Expr.Range()
	class, known := f.classes[name]
	switch {
	case !known:
		f.addProblem(at, "unknown class %q%s", name, suggestion(name, slices.Sorted(maps.Keys(f.classes))))
	case class.GiveUp <= 0 || class.GiveUp > maxDuration:
		f.addProblem(at, "class %q gives up after %s: a plan needs a class whose give-up time is above 0 and at most %s", name, class.GiveUp, maxDuration)
	}
	class.Name = name
	return class
}

// suggestion says what would be right.
func suggestion(word string, right []string) string {
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

// bodyReader is a block's body while it is read: what was asked for is known, the rest
// is named.
type bodyReader struct {
	*fileParser
	block          *hclsyntax.Body
	description    string
	readAttributes []string
	readBlocks     []string
}

func (f *fileParser) newBodyReader(at *hclsyntax.Body, what string) *bodyReader {
	return &bodyReader{fileParser: f, block: at, description: what}
}

func (b *bodyReader) hasAttribute(name string) bool { return b.block.Attributes[name] != nil }

func (b *bodyReader) attribute(name string) *hclsyntax.Attribute {
	b.readAttributes = append(b.readAttributes, name)
	return b.block.Attributes[name]
}

func (b *bodyReader) blocks(kind string, most int) (found []*hclsyntax.Block) {
	b.readBlocks = append(b.readBlocks, kind)
	for _, block := range b.block.Blocks {
		if block.Type == kind {
			found = append(found, block)
		}
	}
	if len(found) > most {
		b.addProblem(found[most].DefRange(), "%s has at most %d of %s", b.description, most, kind)
		found = found[:most]
	}
	return found
}

// reportUnread names what nothing reads.
func (b *bodyReader) reportUnread() {
	for _, name := range slices.Sorted(maps.Keys(b.block.Attributes)) {
		if !slices.Contains(b.readAttributes, name) {
			hint := suggestion(name, append(slices.Clone(b.readAttributes), b.readBlocks...))
			if slices.Contains(b.readBlocks, name) {
				hint = fmt.Sprintf("; %s is a block: %s { ... }, without =", name, name)
			}
			b.addProblem(b.block.Attributes[name].NameRange, "%s has no %q%s", b.description, name, hint)
		}
	}
	for _, block := range b.block.Blocks {
		if !slices.Contains(b.readBlocks, block.Type) {
			hint := suggestion(block.Type, append(slices.Clone(b.readBlocks), b.readAttributes...))
			if slices.Contains(b.readAttributes, block.Type) {
				hint = fmt.Sprintf("; write %s = ...", block.Type)
			}
			b.addProblem(block.TypeRange, "%s has no block %q%s", b.description, block.Type, hint)
		}
	}
}

// expression is an expression that is evaluated later.
func (b *bodyReader) expression(name string, need bool) hcl.Expression {
	a := b.attribute(name)
	if a == nil {
		if need {
			b.addProblem(b.block.MissingItemRange(), "%s needs %s", b.description, name)
		}
		return nil
	}
	return a.Expr
}

// constant is a value that is known now.
func (b *bodyReader) constant(name string, need bool, as cty.Type, right string) (cty.Value, hcl.Range, bool) {
	e := b.expression(name, need)
	if e == nil {
		return cty.NilVal, hcl.Range{}, false
	}
	if !b.checkExpression(e) {
		return cty.NilVal, hcl.Range{}, false
	}
	if len(e.Variables()) > 0 {
		b.addProblem(e.Range(), "%s must be written out, not computed: %s", name, right)
		return cty.NilVal, hcl.Range{}, false
	}
	v, diags := evaluateRaw(e, nil)
	if diags.HasErrors() {
		b.addDiagnostics(diags)
		return cty.NilVal, hcl.Range{}, false
	}
	if v.IsNull() || v.Type() != as {
		b.addProblem(e.Range(), "%s must be %s", name, right)
		return cty.NilVal, hcl.Range{}, false
	}
	return v, e.Range(), true
}

func (b *bodyReader) stringValue(name string, need bool) string {
	v, _, ok := b.constant(name, need, cty.String, `text, as in "abc"`)
	if !ok {
		return ""
	}
	return v.AsString()
}

func (b *bodyReader) enumValue(name, usual string, right []string) string {
	v, at, ok := b.constant(name, false, cty.String, "one of "+strings.Join(right, ", "))
	if !ok {
		return usual
	}
	if !slices.Contains(right, v.AsString()) {
		b.addProblem(at, "unknown %s %q%s", name, v.AsString(), suggestion(v.AsString(), right))
	}
	return v.AsString()
}

func (b *bodyReader) number(name string, need bool, least, most, usual float64, right string) float64 {
	v, at, ok := b.constant(name, need, cty.Number, right)
	if !ok {
		return usual
	}
	n, _ := v.AsBigFloat().Float64()
	if n < least || n > most {
		b.addProblem(at, "%s must be %s", name, right)
		return usual
	}
	return n
}

func (b *bodyReader) integer(name string, need bool, least, most, usual int) int {
	right := fmt.Sprintf("a whole number from %d to %d", least, most)
	n := b.number(name, need, float64(least), float64(most), float64(usual), right)
	if n != math.Trunc(n) {
		b.addProblem(b.block.Attributes[name].Expr.Range(), "%s must be %s", name, right)
	}
	return int(n)
}

func (b *bodyReader) fraction(name string) float64 {
	return b.number(name, false, 0, 1, 0, "a number from 0 to 1")
}

func (b *bodyReader) duration(name string, need bool, least, most, usual time.Duration) time.Duration {
	right := fmt.Sprintf(`a time from %s to %s, as in "250ms", "2s" or "1m30s"`, formatDuration(least), formatDuration(most))
	v, at, ok := b.constant(name, need, cty.String, right)
	if !ok {
		return usual
	}
	d, err := time.ParseDuration(v.AsString())
	if err != nil || d < least || d > most {
		b.addProblem(at, "%s = %q must be %s", name, v.AsString(), right)
		return usual
	}
	return d
}

// stringList is a list of texts, and where each is.
func (b *bodyReader) stringList(name string, need bool) (words []string, at []hcl.Range) {
	e := b.expression(name, need)
	if e == nil {
		return nil, nil
	}
	list, ok := e.(*hclsyntax.TupleConsExpr)
	if !ok {
		b.addProblem(e.Range(), `%s must be a list of texts, as in ["a", "b"]`, name)
		return nil, nil
	}
	if len(list.Exprs) > maxStages {
		b.addProblem(e.Range(), "%s has at most %d entries", name, maxStages)
		return nil, nil
	}
	for _, one := range list.Exprs {
		if v, diags := evaluateRaw(one, nil); !diags.HasErrors() && !v.IsNull() && v.Type() == cty.String && v.IsKnown() {
			words, at = append(words, v.AsString()), append(at, one.Range())
			continue
		}
		b.addProblem(one.Range(), `%s must be a list of texts, as in ["a", "b"]`, name)
	}
	return words, at
}

// formatDuration is a time without what is 0 at its end.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
