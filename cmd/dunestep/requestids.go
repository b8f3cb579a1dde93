package main

import (
	"context"
	"sync/atomic"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/handover"
	"dunestep/internal/openids"
)

// sharedIDs are the ids that are open at this process and at the next one. While the previous process runs,
// it is asked for each: it has those of all later ones.
type sharedIDs struct {
	registry openids.Registry
	retained openids.Retained
	previous atomic.Pointer[handover.Claimant] // nil: there is no previous process, or it answers no claims
	next     atomic.Pointer[handover.Peer]     // nil: there is no next process
}

// Open opens an id at this process.
func (r *sharedIDs) Open(ctx context.Context, id string) agent.IDState {
	if !r.open(id, openids.ThisProcess) {
		return agent.IDInUse
	}
	previous := r.previous.Load()
	if previous == nil {
		return agent.IDOpened
	}
	select {
	case isInUse := <-previous.Claim(id): // false if the previous process has ended
		if isInUse {
			r.registry.Close(id, openids.ThisProcess)
			return agent.IDInUse
		}
		return agent.IDOpened
	case <-ctx.Done():
		return agent.IDUnknown
	}
}

// open opens an id for its owner, unless it is open or retained. It is opened first: an id is retained before
// it is closed.
func (r *sharedIDs) open(id string, owner openids.Owner) bool {
	if !r.registry.Open(id, owner) {
		return false
	}
	if r.retained.Has(id, time.Now()) {
		r.registry.Close(id, owner)
		return false
	}
	return true
}

// Close closes an id of this process.
func (r *sharedIDs) Close(id string) { r.release(id, openids.ThisProcess) }

// Retain closes an id of this process whose request must not run again, at any process.
func (r *sharedIDs) Retain(id string) {
	r.retain(id)
	r.registry.Close(id, openids.ThisProcess)
	if next := r.next.Load(); next != nil {
		next.Notify(handover.Notification{Retained: id})
	}
}

// retainForNext is Retain for an id of the next process, which has retained it.
func (r *sharedIDs) retainForNext(id string) {
	r.retain(id)
	r.registry.Close(id, openids.NextProcess)
}

// retain retains an id here and at the previous process.
func (r *sharedIDs) retain(id string) {
	r.retained.Add(id, time.Now())
	if previous := r.previous.Load(); previous != nil {
		previous.Retain(id)
	}
}

// retainForPrevious retains an id that the previous process has retained, here and at the next one.
func (r *sharedIDs) retainForPrevious(id string) {
	r.retained.Add(id, time.Now())
	if next := r.next.Load(); next != nil {
		next.Notify(handover.Notification{Retained: id})
	}
}

// lead starts to notify the next process of retained ids.
func (r *sharedIDs) lead(next *handover.Peer) {
	r.next.Store(next)
	for _, id := range r.retained.All(time.Now()) {
		next.Notify(handover.Notification{Retained: id})
	}
}

// release closes an id, here and at the previous process.
func (r *sharedIDs) release(id string, owner openids.Owner) {
	if !r.registry.Close(id, owner) {
		return
	}
	if previous := r.previous.Load(); previous != nil {
		previous.Release(id)
	}
}

// follow starts to claim ids at the previous process.
func (r *sharedIDs) follow(previous *handover.Peer) {
	r.previous.Store(handover.NewClaimant(previous.Send))
}

// resolve handles an answer of the previous process.
func (r *sharedIDs) resolve(result handover.ClaimResult) {
	if previous := r.previous.Load(); previous != nil {
		previous.Resolve(result)
	}
}

// previousEnded ends the claims at the previous process: what was open there is no longer.
func (r *sharedIDs) previousEnded() {
	if previous := r.previous.Swap(nil); previous != nil {
		previous.End()
	}
}

// answer opens an id for the next process and tells it the result. If a previous process runs, it is asked
// first, without holding up other claims.
func (r *sharedIDs) answer(next *handover.Peer, claim handover.Claim) {
	result := handover.ClaimResult{Number: claim.Number}
	previous := r.previous.Load()
	result.InUse = !r.open(claim.ID, openids.NextProcess)
	if result.InUse || previous == nil {
		next.Notify(handover.Notification{ClaimResult: &result})
		return
	}
	go func() {
		if result.InUse = <-previous.Claim(claim.ID); result.InUse {
			r.registry.Close(claim.ID, openids.NextProcess)
		}
		next.Notify(handover.Notification{ClaimResult: &result})
	}()
}

// nextEnded closes all ids of the next process.
func (r *sharedIDs) nextEnded() {
	r.next.Store(nil)
	for _, id := range r.registry.CloseAll(openids.NextProcess) {
		if previous := r.previous.Load(); previous != nil {
			previous.Release(id)
		}
	}
}
