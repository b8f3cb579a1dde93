package fragment_test

import (
	"fmt"
	"time"

	"dunestep/internal/fleet/fragment"
)

// A message of 10,000 bytes is sent from agent 0 to agent 1, and every tenth datagram is lost.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	var ends [2]*fragment.Transport
	for i := range ends {
		ends[i] = fragment.New(fragment.Config{Agents: 2, Incarnation: uint64(now.UnixMilli())})
	}
	if err := ends[0].Send(now, 1, 7, make([]byte, 10_000)); err != nil {
		fmt.Println(err)
	}
	sent := 0
	for arrived := false; !arrived; now = now.Add(50 * time.Millisecond) {
		for from, end := range ends {
			for _, d := range end.Out(now) {
				if sent++; sent%10 == 0 {
					continue
				}
				for _, m := range ends[d.To].Receive(now, uint32(from), d.Bytes) {
					arrived = true
					fmt.Printf("from %d on channel %d: %d bytes\n", m.From, m.Channel, len(m.Bytes))
				}
			}
		}
	}
	// Output:
	// from 0 on channel 7: 10000 bytes
}
