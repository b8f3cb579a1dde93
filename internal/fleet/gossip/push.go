package gossip

// push sends the newest records or a digest to Settings.Fanout agents, drawn at random, or to a single agent
// if the interval has reached Settings.IdleInterval or enough other agents have reported the same position.
// The interval doubles with each push.
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

// announcement returns the message of a push. While the newest records are new and fit into one datagram, it
// contains these records, which replaces a digest, a pull and its reply, each of which may be lost. Otherwise
// it is a digest.
func (r *Replicator) announcement() []byte {
	if r.pushInterval < r.settings.IdleInterval {
		if message, hasRecords := r.newestRecords(); hasRecords {
			return message
		}
	}
	return encode(kindDigest, r.ownDigest())
}

// newestRecords returns a segment with as many of the newest records as fit into Settings.MaxPushBytes.
// hasRecords is false if there is no record after the snapshot, or if not even the newest record fits.
func (r *Replicator) newestRecords() (message []byte, hasRecords bool) {
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
		message, hasRecords = m, true
	}
	return message, hasRecords
}

// handleDigest compares another agent's position with that of this replica. It replies with a digest if one
// is requested, or if the other agent lags and the message is not itself a reply.
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
