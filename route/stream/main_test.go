package stream

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails the run if any test leaves a goroutine behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
