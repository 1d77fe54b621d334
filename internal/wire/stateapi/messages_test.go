package stateapi

import (
	"encoding/hex"
	"testing"

	"gullrudder/internal/wire/codec"
)

const (
	leaderPreconditionHex = "82a470617468a66c6561646572a46d61726bcf0000000000000006"
	onePreconditionHex    = "82a667756172647391" + leaderPreconditionHex + "a56170706c79"
)

func checkEncoding(t *testing.T, message any, want string) {
	t.Helper()
	raw, err := codec.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(raw); got != want {
		t.Errorf("encoding: got\n%s, want\n%s", got, want)
	}
}

// TestPreconditionEncoding checks that preconditions have the same bytes as in all earlier versions.
func TestPreconditionEncoding(t *testing.T) {
	const keyBytes = "82" + "a470617468" + "a161" + "a46d61726b"
	for _, test := range []struct {
		name         string
		precondition Precondition
		want         string
	}{
		{"page that was written", Precondition{Key: "a", ModRevision: 300}, keyBytes + "cf000000000000012c"},
		{"page that was never written", Precondition{Key: "a"}, keyBytes + "cf0000000000000000"},
		{"key that must not exist", RequireAbsent("a"), keyBytes + "00"},
	} {
		t.Run(test.name, func(t *testing.T) { checkEncoding(t, test.precondition, test.want) })
	}
}

// TestCommitEncoding checks that commits have the same bytes as with the two earlier definitions, in packages election and storage.
func TestCommitEncoding(t *testing.T) {
	leader := Precondition{Key: "leader", ModRevision: 6}
	for _, test := range []struct {
		name    string
		request CommitRequest
		want    string
	}{
		{
			"claim of the leader's key",
			CommitRequest{
				Preconditions: []Precondition{RequireAbsent("leader")},
				Operations: []Operation{{
					Write: "leader", LeaseID: 3,
					Value: struct {
						Name    string `msgpack:"name"`
						LeaseID uint64 `msgpack:"permit"`
					}{"a", 3},
				}},
			},
			"82a66775617264739182a470617468a66c6561646572a46d61726b00a56170706c799183a57772697465a66c6561646572a576616c756582" +
				"a46e616d65a161a67065726d6974cf0000000000000003a67065726d6974cf0000000000000003",
		},
		{
			"pages and the format key",
			CommitRequest{
				Preconditions: []Precondition{
					leader, {Key: "page/1", ModRevision: 300}, {Key: "page/2"}, RequireAbsent("page/~format"),
				},
				Operations: []Operation{
					{Write: "page/1", Value: map[string]string{"p": "x"}}, {Write: "page/~format", Value: "history 1"},
				},
			},
			"82a667756172647394" + leaderPreconditionHex +
				"82a470617468a6706167652f31a46d61726bcf000000000000012c82a470617468a6706167652f32a46d61726bcf0000000000000000" +
				"82a470617468ac706167652f7e666f726d6174a46d61726b00a56170706c7992" +
				"82a57772697465a6706167652f31a576616c756581a170a178" +
				"82a57772697465ac706167652f7e666f726d6174a576616c7565a9686973746f72792031",
		},
		{
			"deletion",
			CommitRequest{Preconditions: []Precondition{leader}, Operations: []Operation{{Delete: "results/1"}}},
			onePreconditionHex + "9181a464726f70a9726573756c74732f31",
		},
		{"no operation", CommitRequest{Preconditions: []Precondition{leader}}, onePreconditionHex + "c0"},
	} {
		t.Run(test.name, func(t *testing.T) { checkEncoding(t, test.request, test.want) })
	}
}
