package plan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/policy"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Bounds of a plan file. Together with the bounds of values, they limit the cost of parsing,
// checking and evaluating any plan.
const (
	maxFileSize        = 256 << 10
	maxTokens          = 32768
	maxNesting         = 32  // of brackets and templates
	maxExpressionNodes = 512 // of an expression
	maxPlans           = 64
	maxStages          = 64 // of a plan; a stageSet has one bit for each
	maxRules           = 8  // of one kind in a stage
	maxTries           = 100
	maxItems           = 4096 // over all stages of a plan
	maxAttempts        = 10_000_000
	maxDuration        = 24 * time.Hour
	maxNameLength      = 64
)

// Parse parses the plans of a file and checks them against the classes in service. It returns
// the plans that have no problem, and all problems in the order of the file. For a file that
// can't be parsed it returns no plans.
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

// fileParser is the state of parsing a plan file.
type fileParser struct {
	name     string
	text     []byte
	classes  map[string]policy.Class
	problems []Problem
}

// checkBounds checks the number and nesting of a file's tokens before the HCL library parses
// them, since the library recurses for each bracket.
func (f *fileParser) checkBounds() bool {
	if len(f.text) > maxFileSize {
		f.addProblem(hcl.Range{}, "the file has %d bytes; at most %d are read: split it", len(f.text), maxFileSize)
		return false
	}
	words, _ := hclsyntax.LexConfig(f.text, f.name, hcl.InitialPos) // the parser reports the same errors again
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
			f.addProblem(w.Range, "%%{ } is not allowed in a plan: use a condition, a ? b : c")
			return false
		}
		switch w.Type {
		case hclsyntax.TokenOHeredoc:
			lines = 0
		case hclsyntax.TokenStringLit: // the library joins the lines one by one
			if lines++; lines > maxExpressionNodes {
				f.addProblem(w.Range, "a text of more than %d lines: pass such a long text in a result or in the input", maxExpressionNodes)
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
			f.addProblem(block.DefRange(), "plan %q is defined twice: give each a name of its own", p.Name)
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
	p.Timeout = b.duration("within", true, time.Millisecond, 0)
	p.MaxAttempts = b.integer("attempts", true, maxAttempts, 0)
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
			f.addProblem(at.LabelRanges[0], "a stage can't be named %q: expressions already use that name for a value; choose another", s.Name)
		case p.ByName[s.Name] != nil:
			f.addProblem(at.DefRange(), "stage %q is defined twice: give each a name of its own", s.Name)
		default:
			p.ByName[s.Name] = s
			p.Stages = append(p.Stages, s)
		}
	}
	p.Digest = p.computeDigest(hcl.RangeBetween(block.TypeRange, block.CloseBraceRange).SliceBytes(f.text), f.classes)
	return p
}

// namesClass reports whether the plan names a class.
func (p *Plan) namesClass(class string) bool {
	return slices.ContainsFunc(p.Stages, func(s *Stage) bool {
		return s.Class == class || s.Undo != nil && s.Undo.Class == class
	})
}

func (f *fileParser) parseStage(block *hclsyntax.Block) *Stage {
	s := &Stage{Name: f.blockLabel(block, "stage"), Range: block.DefRange()}
	b := f.newBodyReader(block.Body, "a stage")
	class := f.parseClass(b)
	s.Class, s.Effect, s.AttemptTimeout = class.Name, class.Effect, class.ClientTimeout
	s.After, s.afterRanges = b.stringList("after", false)
	s.Path, s.Body, s.Key = b.expression("path", true), b.expression("body", false), b.expression("key", false)
	s.Cost = b.duration("cost", false, 0, 0)
	if s.Each = b.expression("each", false); s.Each != nil {
		s.MaxItems = b.integer("most", true, maxListLength, 0)
		s.MinSucceeded = b.integer("at_least", false, max(s.MaxItems, 1), 0)
	} else {
		for _, name := range []string{"most", "at_least"} {
			if a := b.attribute(name); a != nil {
				f.addProblem(a.NameRange, "%s is for a stage with each: add each, the list that it is run for, or leave it out", name)
			}
		}
	}
	if s.Shared = b.expression("shared", false); s.Shared != nil {
		s.SharedFor = b.duration("shared_for", true, time.Millisecond, 0)
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
			f.addProblem(at[i], "%q is listed twice: leave one out", w)
		default:
			r.On, r.onRanges = append(r.On, e), append(r.onRanges, at[i])
		}
	}
	if len(words) == 0 && b.hasAttribute("on") {
		f.addProblem(b.block.Attributes["on"].Range(), "on is empty: name the ends that the stage is tried again on, some of %s", strings.Join(endWords[1:], ", "))
	}
	r.MaxRetries = b.integer("most", true, maxTries, 0)
	r.Wait = b.duration("wait", false, 0, 0)
	r.MaxWait = b.duration("wait_at_most", false, r.Wait, maxDuration)
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
	r.MaxReruns = b.integer("most", true, maxTries, 0)
	b.reportUnread()
	return r
}

func (f *fileParser) parseUndo(block *hclsyntax.Block) *Undo {
	b, u := f.newBodyReader(block.Body, "an undo"), &Undo{Range: block.DefRange()}
	f.rejectLabels(block)
	class := f.parseClass(b)
	u.Class, u.Effect, u.AttemptTimeout = class.Name, class.Effect, class.ClientTimeout
	u.Path, u.Body, u.Key = b.expression("path", true), b.expression("body", false), b.expression("key", false)
	u.MaxTries = b.integer("most", false, maxTries, 1)
	u.Wait = b.duration("wait", false, 0, 0)
	b.reportUnread()
	return u
}

// blockLabel returns the one label of a block.
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

// parseClass returns the class that a stage or an undo names.
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
	case class.ClientTimeout <= 0 || class.ClientTimeout > maxDuration:
		f.addProblem(at, "class %q gives up after %s: a plan needs a class whose give-up time is above 0 and at most %s", name, class.ClientTimeout, maxDuration)
	}
	class.Name = name
	return class
}
