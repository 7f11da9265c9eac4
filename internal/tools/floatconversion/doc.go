// Package floatconversion has a test only. It checks that floating-point numbers are converted to integers and
// durations by package saturating, since Go leaves a conversion that is out of range to the implementation.
package floatconversion
