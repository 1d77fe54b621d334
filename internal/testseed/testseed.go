// Package testseed gives the property tests of a package a fixed seed, so that their result changes only with the code.
package testseed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Main runs a package's tests with a fixed seed of rapid and exits. The flag -rapid.seed sets another seed.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set("20"); err != nil {
			fmt.Fprintln(os.Stderr, "set rapid.seed:", err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
