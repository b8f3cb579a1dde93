package ringassignment

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRulesOnTheDesignPage checks that docs/design/placement.md lists exactly the rules of the code.
func TestRulesOnTheDesignPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/design/placement.md")
	require.NoError(t, err)
	table := "| from | when | to |\n| --- | --- | --- |\n"
	for _, r := range Rules() {
		table += fmt.Sprintf("| %s | %s | %s |\n", r[0], r[2], r[1])
	}
	require.Contains(t, string(page), table+"\n")
}
