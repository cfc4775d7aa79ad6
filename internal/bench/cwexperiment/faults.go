package cwexperiment

import "fmt"

// faults prints what each part of the failure policy adds; it is filled in by faulty workers.
func (e *experiment) faults() { fmt.Fprintln(e.w) }
