package gossip

// push sends new records, or a digest, to some agents. The interval doubles with each push; where others send
// the same position, and when idle, only one agent is sent to.
func (r *Replicator) push() {
	count := r.settings.Fanout
	if r.pushInterval >= r.settings.IdleInterval || r.equalDigests >= 2*r.settings.Fanout {
		count = 1
	}
	message := r.announcement()
	for _, agent := range r.pickPeers(count) {
		r.send(agent, message)
	}
	r.lastPush, r.nextPush = r.now, r.now+r.jittered(r.pushInterval)
	r.pushInterval = min(2*r.pushInterval, r.settings.IdleInterval)
}

// announcement returns the newest records while they are new and fit into one datagram: one message does then
// what a digest, a pull and its reply would do, each of which may be lost. Otherwise it returns a digest.
func (r *Replicator) announcement() []byte {
	if r.pushInterval < r.settings.IdleInterval {
		if message, isFitting := r.newestRecords(); isFitting {
			return message
		}
	}
	return encode(kindDigest, r.ownDigest())
}

// newestRecords returns a segment with as many of the newest records as fit; false: none does.
func (r *Replicator) newestRecords() (message []byte, isFitting bool) {
	last := r.log.Last()
	for first := last.Seq; first > r.log.Snapshot().Seq; first-- {
		s, isKnown := r.log.Segment(first, r.settings.MaxPushBytes)
		if !isKnown || uint64(len(s.Records)) != last.Seq-first+1 {
			break
		}
		m := encode(kindSegment, segment{
			Epoch: s.Epoch, First: first, PriorSum: s.PriorSum, Sum: s.Sum,
			Records: s.Records, LastSeq: last.Seq,
		})
		if len(m) > r.settings.MaxPushBytes {
			break
		}
		message, isFitting = m, true
	}
	return message, isFitting
}

// handleDigest compares another agent's position with the own one, and replies where that is useful.
func (r *Replicator) handleDigest(from int, d digest) {
	order, err := r.log.Compare(d.position())
	r.noteCatchUpReply(from, d)
	switch {
	case err != nil:
		r.noteDiverged(from)
	case order > 0:
		r.rememberPeer(from, d.position())
	case order == 0:
		r.equalDigests++
	}
	isBehind := order < 0 && err == nil && d.AnswerTo == 0
	if d.Question == 0 && !isBehind {
		return
	}
	reply := r.ownDigest()
	reply.AnswerTo = d.Question
	if message := encode(kindDigest, reply); r.sendBudget.spend(len(message)) {
		r.send(from, message)
	} else {
		r.stats.Throttled++
	}
}
