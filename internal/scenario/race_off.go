//go:build !race

package scenario

var buildFlags []string
