// Package fleet holds the tests of the fleet layer that start several processes of the
// program, and the soak test. The layer itself is in the packages below it.
package fleet
