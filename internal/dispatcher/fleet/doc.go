// Package fleet has the tests of the fleet layer over several processes of the
// program, and the soak. The layer itself is in the packages below it.
package fleet
