package gossip

import (
	"slices"
	"time"

	"dunestep/internal/fleet/replica"
	"dunestep/internal/simnet"
)

// lab simulates a fleet whose first five agents are voters, which share one log: a committed record is in it at once.
type lab struct {
	*simnet.Network
	settings      Settings
	limits        replica.Limits
	logs          []*replica.Log
	agents        []*Replicator
	incarnations  uint64
	committed     *replica.Log
	sums          map[uint64]uint64 // checksums of committed by sequence number
	violation     string
	lastPositions []replica.Position // after the last input of each agent
}

const voters = 5

func newLab(seed uint64, agents int, faults simnet.Faults, set Settings) *lab {
	l := &lab{
		Network: simnet.NewNetwork(seed, agents, time.Hour, faults), settings: set, logs: make([]*replica.Log, agents),
		agents: make([]*Replicator, agents), committed: newLog(replica.Limits{}), sums: map[uint64]uint64{},
		lastPositions: make([]replica.Position, agents),
	}
	l.settings.Agents, l.settings.Voters = agents, []int{0, 1, 2, 3, 4}
	l.OnMessage = func(to, from int, data []byte) {
		if l.agents[to] != nil {
			l.carryOut(to, l.agents[to].Step(l.SteadyTime(to), from, data))
		}
	}
	l.OnTimer = func(node int) {
		if l.agents[node] != nil {
			l.carryOut(node, l.agents[node].Tick(l.SteadyTime(node)))
		}
	}
	for a := range agents {
		l.restart(a)
		if a < voters {
			l.agents[a].MarkCaughtUp()
		}
	}
	return l
}

func newLog(limits replica.Limits) *replica.Log {
	log, err := replica.New(replica.InitialSnapshot(1), limits)
	if err != nil {
		panic(err)
	}
	return log
}

func (l *lab) restart(a int) {
	set := l.settings
	l.incarnations++
	set.Self, set.Seed, set.NeverPull = a, l.incarnations, a < voters
	if l.logs[a] = newLog(l.limits); a < voters {
		l.logs[a] = l.committed
	}
	l.lastPositions[a] = l.logs[a].Last()
	l.agents[a] = New(set, l.logs[a], l.SteadyTime(a))
	l.SetTimer(a, l.agents[a].Next())
}

func (l *lab) carryOut(node int, out Output) {
	for _, m := range out.Messages {
		l.Send(node, m.To, m.Data)
	}
	l.SetTimer(node, l.agents[node].Next())
	if s := l.logs[node].Snapshot(); node >= voters && !out.IsRestarted && !l.lastPositions[node].Covers(s.Position()) {
		l.violation = "IsRestarted is not set although the log has a new snapshot"
	}
	l.lastPositions[node] = l.logs[node].Last()
	l.compact(l.logs[node])
	if last := l.logs[node].Last(); last.Epoch == l.committed.Last().Epoch && last.Seq > 0 && l.sums[last.Seq] != last.Sum || out.HasDiverged {
		l.violation = "a replica is not a prefix of the committed log"
	}
}

// compact compacts a log every 40 records, with a snapshot that is larger than a message.
func (l *lab) compact(log *replica.Log) {
	for log.Len() >= 60 {
		seq := log.Snapshot().Seq + 40
		sum, _ := log.SumAt(seq)
		s := replica.Snapshot{Epoch: log.Last().Epoch, Seq: seq, Sum: sum, Data: slices.Repeat([]byte{byte(seq)}, 3000+int(seq))}
		if err := log.Compact(s); err != nil {
			panic(err)
		}
	}
}

func (l *lab) commit(size int) {
	seq := l.committed.Last().Seq + 1
	if err := l.committed.Append(replica.Record{Seq: seq, Data: slices.Repeat([]byte{byte(seq)}, size)}); err != nil {
		panic(err)
	}
	l.sums[seq] = l.committed.Last().Sum
	l.compact(l.committed)
	for v := range voters {
		l.carryOut(v, l.agents[v].RecordsAdded(l.SteadyTime(v)))
	}
}

// runUntilEqual runs until count agents have the log of the voters, or the timeout has passed, and returns the time taken.
func (l *lab) runUntilEqual(count int, timeout time.Duration) time.Duration {
	for begin := l.Now(); ; l.Run(l.Now() + 10*time.Millisecond) {
		equal := 0
		for _, log := range l.logs {
			if log.Last() == l.committed.Last() {
				equal++
			}
		}
		if took := l.Now() - begin; equal >= count || took > timeout {
			return took
		}
	}
}

func faultsOf(loss float64) simnet.Faults {
	return simnet.Faults{Loss: loss, Duplicate: loss / 10, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond}
}

func sum(of []int) (n int) {
	for _, v := range of {
		n += v
	}
	return n
}
