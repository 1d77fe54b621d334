package dynamicconfig

import (
	"testing"

	"gullrudder/internal/config"
	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	change := Change{Version: 4, AppliedAt: 1_700_000_000, Author: "anna", Details: []string{"quiet 1 to 2"}}
	kept := record{Text: "<options/>", Version: 4, Changes: []Change{change}}
	view := View{Version: 4, Values: []config.OptionValue{{Name: "quiet", Value: 2.5}}, Changes: []Change{change}}
	goldenbytes.Check(t,
		goldenbytes.MessagePack("options", kept),
		goldenbytes.JSON("options", kept),
		goldenbytes.MessagePack("view", view),
		goldenbytes.JSON("view", view),
		goldenbytes.MessagePack("request", ChangeRequest{Author: "anna", Text: "<options/>"}),
	)
}
