package election

import (
	"encoding/hex"
	"testing"
)

// TestStateMessageEncoding checks that the requests to the state service have the same bytes as in earlier versions. Those
// sent the keys of a claim in varying order; the test expects the most frequent one.
func TestStateMessageEncoding(t *testing.T) {
	for _, test := range []struct {
		name    string
		message any
		want    string
	}{
		{"create lease", createLeaseRequest{TTLMillis: 2000}, "81a674746c5f6d73d300000000000007d0"},
		{
			"claim", claimRequest(leaderRecord{Name: "a", LeaseID: 3}),
			"82a66775617264739182a470617468a66c6561646572a46d61726b00a56170706c799183a57772697465a66c6561646572a576616c756582" +
				"a46e616d65a161a67065726d6974cf0000000000000003a67065726d6974cf0000000000000003",
		},
		{"leader record", leaderRecord{Name: "a", LeaseID: 3}, "82a46e616d65a161a67065726d6974cf0000000000000003"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := hex.EncodeToString(encode(t, test.message)); got != test.want {
				t.Errorf("encoding: got %s, want %s", got, test.want)
			}
		})
	}
}
