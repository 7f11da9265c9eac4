// Package doccheck has tests only: the pages name files, folders, tests and identifiers of the source
// that exist, and their links lead somewhere.
package doccheck
