package settings

import (
	"testing"

	"gullrudder/internal/config"
	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	change := Change{Version: 4, At: 1_700_000_000, Who: "anna", What: []string{"quiet 1 to 2"}}
	kept := entry{Text: "<options/>", Version: 4, Changes: []Change{change}}
	view := View{Version: 4, Values: []config.Value{{Name: "quiet", Value: 2.5}}, Changes: []Change{change}}
	goldenbytes.Check(t,
		goldenbytes.MessagePack("options", kept),
		goldenbytes.JSON("options", kept),
		goldenbytes.MessagePack("view", view),
		goldenbytes.JSON("view", view),
		goldenbytes.MessagePack("request", Request{Who: "anna", Text: "<options/>"}),
	)
}
