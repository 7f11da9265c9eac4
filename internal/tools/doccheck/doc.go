// Package doccheck has tests only. They check that the files, folders, tests and identifiers which the
// pages name exist in the source, and that the targets of their links exist.
package doccheck
