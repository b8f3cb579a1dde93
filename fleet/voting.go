package fleet

import (
	"errors"

	"dunestep/fleet/chronicle"
	"dunestep/fleet/consensus"
	"dunestep/fleet/lease"
)

// startVoter makes this agent one of those that keep the log.
func (n *Node) startVoter(now Reading) (err error) {
	voters := make([]uint32, 0, len(n.set.Voters))
	for _, v := range n.set.Voters {
		voters = append(voters, uint32(v))
	}
	n.voter, err = consensus.New(consensus.Config{
		Agent: uint32(n.set.Self), Voters: voters,
		Nonce: n.set.Incarnation, Seed: n.set.Seed, Volatile: !n.set.Lasts,
	}, steady(now), n.set.Stored)
	n.granter = lease.NewGranter(lease.GranterSettings{
		Terms: n.set.Terms, Agents: n.set.Agents,
		May: func(now Reading, from int, r lease.Request) bool { return n.may(now, from, r.Incarnation, r.Note) },
	})
	return err
}

// status is the voter's.
func (n *Node) status() consensus.Status { return n.voter.Status() }

// vote gives the voter an input, and does what follows from it.
func (n *Node) vote(now Reading, in consensus.Input) {
	for in != nil {
		out := n.voter.Step(steady(now), in)
		in = nil
		for _, m := range out.Messages {
			n.tell(now, int(m.To), channelVoters, m.Bytes)
		}
		if out.Restore != nil {
			n.restored(out.Restore)
		}
		for _, e := range out.Committed {
			n.committed(now, e)
		}
		if out.Persist != nil {
			if n.set.Lasts {
				n.out.Persist = out.Persist
			} else {
				in = consensus.Persisted{Token: out.Persist.Token}
			}
		}
		if out.WantSnapshot && in == nil {
			in = n.compactVoters(now)
		}
	}
	if n.standsDown {
		n.standDown()
		return
	}
	n.confirm(now)
}

// standDown ends this agent's part among the voters: it can't follow the log any more, so it must not grant
// leases on it. It goes on as an agent that is behind, within the floor, until it is of a later build.
func (n *Node) standDown() {
	if n.voter != nil {
		n.event(Event{Kind: Stopped, At: n.at, Err: errTooOld})
	}
	n.voter, n.granter, n.stopped = nil, nil, true
}

// restored takes the state above that the log goes on from.
func (n *Node) restored(r *consensus.Restore) {
	s := chronicle.Beginning(r.Epoch)
	if len(r.Data) > 0 {
		var err error
		if s, err = decodeSnapshot(r.Data); err != nil {
			n.event(Event{Kind: Stopped, Err: err})
			return
		}
	}
	n.given = s.Seq
	if _, err := n.log.Install(s); err != nil {
		n.event(Event{Kind: Differs, Agent: n.set.Self, At: s.At(), Err: err})
	}
}

// committed takes a record that the voters agreed on. The copy may have it already, from others.
func (n *Node) committed(now Reading, e consensus.Entry) {
	n.given++
	if n.log.Last().Epoch != n.status().Identity.Epoch {
		return // a later log has replaced this one here already, which this voter belongs to no more soon
	}
	err := n.log.Append(chronicle.Record{Seq: n.given, Data: e.Data})
	if errors.Is(err, chronicle.ErrFull) && n.machines.full {
		n.standsDown = true
		return
	}
	if err != nil {
		n.event(Event{Kind: Differs, Agent: n.set.Self, At: n.log.Last(), Err: err})
		return
	}
	if n.log.Len() >= n.log.Limits().Records {
		n.apply(now)
	}
}

// compactVoters is the state above as of the last record that the log gave out, where that is what the
// machines have.
func (n *Node) compactVoters(now Reading) consensus.Input {
	n.apply(now)
	if n.at.Seq != n.given || n.at.Epoch != n.status().Identity.Epoch {
		return nil
	}
	data, err := n.machines.snapshot()
	if err != nil {
		return nil
	}
	s := chronicle.Snapshot{Epoch: n.at.Epoch, Seq: n.at.Seq, Sum: n.at.Sum, Data: data}
	return consensus.Compact{Index: n.status().Applied, Data: encodeSnapshot(s)}
}

// confirm takes what the voter knows for sure to whoever waits for a lease, and tells of changes of the
// leader.
func (n *Node) confirm(now Reading) {
	s := n.status()
	if leads := s.Phase == consensus.Leading; leads != n.leading {
		n.leading = leads
		kind := LeadsNot
		if leads {
			kind = Leads
		}
		n.event(Event{Kind: kind, At: n.at})
	}
	if s.Phase == consensus.Broken && !n.stopped {
		n.stopped = true
		n.event(Event{Kind: Stopped, Err: s.Err})
	}
	if !s.Fresh.After(n.fresh) || s.Identity.Epoch == 0 {
		return
	}
	n.fresh = s.Fresh
	if n.log.Last().Epoch == s.Identity.Epoch {
		n.spread.Vouch()
	}
	age := now.Mono - mono(s.Fresh)
	asked := Reading{Unix: now.Unix - age, Mono: now.Mono - age}
	at := chronicle.Position{Epoch: s.Identity.Epoch, Seq: n.given}
	n.apply(now) // what stands above has to know of all that a grant names
	for _, a := range n.granter.Confirmed(now, asked, at) {
		n.say(now, a.To, channelGrant, a.Grant.Encode())
	}
}

// asked takes an agent's request for a lease. Only a voter of a log that goes on answers; who asks
// another one asks the next.
func (n *Node) asked(now Reading, from int, b []byte) {
	r, err := lease.DecodeRequest(b)
	if err != nil || n.voter == nil {
		n.dropped++
		return
	}
	out, _ := n.granter.Requested(now, from, r)
	for _, a := range out {
		n.say(now, a.To, channelGrant, a.Grant.Encode())
	}
}
