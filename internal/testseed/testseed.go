// Package testseed makes the property tests of a package draw the same cases in every run, so
// that their outcome changes only with the code.
package testseed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Main runs a package's tests with a fixed seed of rapid. Another seed is given with
// -rapid.seed.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set("20"); err != nil {
			fmt.Fprintln(os.Stderr, "rapid's seed:", err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
