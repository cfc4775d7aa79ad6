// Command currantward is the cluster scheduler: it runs entry hosts, the operators' tools and demonstrations.
package main

import (
	"os"

	"currantward/internal/app/cwcommand"
)

func main() {
	os.Exit(cwcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}
