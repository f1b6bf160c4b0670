package budget

import (
	"testing"

	"magnoliastall.example/magno/fixed"
)

func TestMain(m *testing.M) { fixed.Main(m, 200) }
