// Command basaltloft is the dispatcher and the tools around it.
package main

import (
	"context"
	"os"

	"basaltloft/internal/dispatcher/cli"
)

func main() { os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }
