//go:build race

package shares

func init() { *seeds = 120 } // the race detector makes a run ten times as long
