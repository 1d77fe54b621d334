package datadir

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	goldenbytes.Check(t, goldenbytes.XML("site", Home{
		ID: "0f0e", Program: "1.2", Zone: "here", CPUs: 7.5, MemGB: 31, Price: 1, As: "nobody",
		KeepFreeMB: 256, State: "127.0.0.1:1", Pool: "127.0.0.1:2", Worker: "127.0.0.1:3",
		Controllers: []Node{{Name: "controller-1", Public: "127.0.0.1:4", Peer: "127.0.0.1:5"}},
	}))
}
