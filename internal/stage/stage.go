// Package stage has the six stages that a transaction passes, each in a unit
// of its own: take in, admit, route, send, relay, book. Take in is the fronts'
// way into the core; the core calls the others. None of them knows a wire.
package stage

import (
	"basaltloft"

	"github.com/sirupsen/logrus"
)

// Chain is the stages of one dispatcher. It implements core.Stages.
type Chain struct {
	limits  Limits
	classes map[string]basaltloft.Class
	books   Books
	needs   func(class string) string // what jobs need that do not say; nil: nothing
	log     *logrus.Logger
}

// Need says what jobs need of a member whose front does not say. It must be
// called before the first job.
func (c *Chain) Need(of func(class string) string) { c.needs = of }

// New returns the chain for the module's settings.
func New(s basaltloft.Settings, limits Limits, books Books, log *logrus.Logger) *Chain {
	c := &Chain{limits: limits, classes: make(map[string]basaltloft.Class), books: books, log: log}
	for _, class := range s.Classes {
		c.classes[class.Name] = class
	}
	return c
}
