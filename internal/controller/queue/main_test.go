package queue

import (
	"testing"

	"gullrudder/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }
