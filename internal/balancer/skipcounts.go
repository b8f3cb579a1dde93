package balancer

import (
	"fmt"
	"math"
	"strings"
)

// SkipCounts has how many servers a selection skipped, by reason. It explains a request that got no server.
type SkipCounts [len(skipReasonTexts)]uint16

// add counts one more server that was skipped for a reason.
func (c *SkipCounts) add(reason skipReason) {
	if reason != notSkipped && c[reason] < math.MaxUint16 {
		c[reason]++
	}
}

// String returns the counts as text for a log line, such as "3 saturated, 1 tried before".
func (c SkipCounts) String() string {
	var parts []string
	for reason, count := range c {
		if count > 0 {
			parts = append(parts, fmt.Sprint(count, " ", skipReason(reason)))
		}
	}
	return strings.Join(parts, ", ")
}
