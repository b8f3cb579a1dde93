package ringassignment

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The page tells the rules as they are.
func TestRulesAreTold(t *testing.T) {
	page, err := os.ReadFile("../../../docs/design/placement.md")
	require.NoError(t, err)
	table := "| from | when | to |\n| --- | --- | --- |\n"
	for _, r := range Rules() {
		table += fmt.Sprintf("| %s | %s | %s |\n", r[0], r[2], r[1])
	}
	require.True(t, strings.Contains(string(page), table+"\n"), table)
}
