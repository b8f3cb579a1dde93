package gossip_test

import (
	"fmt"
	"time"

	"dunestep/internal/fleet/gossip"
	"dunestep/internal/fleet/replica"
)

// Agent 0 is a voter with two records, agent 1 has just started.
func Example() {
	var logs [2]*replica.Log
	var agents [2]*gossip.Replicator
	for i := range agents {
		logs[i], _ = replica.New(replica.InitialSnapshot(1), replica.Limits{})
		settings := gossip.Settings{Agents: 2, Self: i, Voters: []int{0}, Seed: uint64(i), NeverPull: i == 0}
		agents[i] = gossip.New(settings, logs[i], 0)
	}
	for seq := range uint64(2) {
		_ = logs[0].Append(replica.Record{Seq: seq + 1, Data: []byte("agreed")})
	}
	agents[0].MarkCaughtUp()
	now := time.Duration(0)
	var carry func(from int, out gossip.Output)
	carry = func(from int, out gossip.Output) {
		for _, s := range out.Messages {
			carry(s.To, agents[s.To].Step(now, from, s.Data))
		}
	}
	carry(0, agents[0].RecordsAdded(now))
	for ; agents[1].CatchUpState(now) != gossip.CaughtUp && now < time.Minute; now += 50 * time.Millisecond {
		for i := range agents {
			carry(i, agents[i].Tick(now))
		}
	}
	fmt.Println(agents[1].CatchUpState(now), logs[1].Last() == logs[0].Last())
	// Output:
	// caught up true
}
