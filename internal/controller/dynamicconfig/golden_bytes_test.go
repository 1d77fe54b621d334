package dynamicconfig

import (
	"testing"

	"gullrudder/internal/config"
	"gullrudder/internal/goldenbytes"
)

// TestGoldenBytes checks the encoded messages against testdata/golden-bytes.txt.
func TestGoldenBytes(t *testing.T) {
	change := Change{Version: 4, AppliedAt: 1_700_000_000, Author: "anna", Details: []string{"quiet 1 to 2"}}
	stored := record{Text: "<options/>", Version: 4, Changes: []Change{change}}
	view := View{Version: 4, Values: []config.OptionValue{{Name: "quiet", Value: 2.5}}, Changes: []Change{change}}
	goldenbytes.Check(t,
		goldenbytes.MessagePack("options", stored),
		goldenbytes.JSON("options", stored),
		goldenbytes.MessagePack("view", view),
		goldenbytes.JSON("view", view),
		goldenbytes.MessagePack("request", ChangeRequest{Author: "anna", Text: "<options/>"}),
	)
}
