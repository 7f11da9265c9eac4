//go:build race

package budget

func init() { *seeds = 120 } // the race detector makes a run ten times slower
