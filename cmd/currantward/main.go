// Command currantward is the cluster scheduler: entry host, operators' tool and demonstration in one.
package main

import (
	"os"

	"currantward/internal/app/cwcommand"
)

func main() {
	os.Exit(cwcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}
