// Package deploy embeds the example files that the program itself uses.
package deploy

import _ "embed"

// Plans is plans-example.hcl, the plans of the tours.
//
//go:embed plans-example.hcl
var Plans []byte
