package distribution

import (
	"math/rand/v2"
	"testing"
)

// mutationSeeds is the number of histories within which the checker has to find each seeded fault.
const mutationSeeds = 20

// mutation intercepts the calls between the parts of a simulation. That of noMutation changes nothing; each of the others seeds
// a fault.
type mutation struct {
	lease     func(g *gateway, l *Lease) lease
	effects   func(e Effects) Effects
	subscribe func(v *voter, at Position) Decision
	snapshot  func(v *voter, s *Snapshot)
	batch     func(c *connection, b *Batch) *Batch // nil: not sent
	mark      func(m Mark) Mark
	confirm   func(r *round) // a round that succeeded
	// confirmMemberLease is called for the same round, for the voter's MemberLease.
	confirmMemberLease func(r *round)
	deposedRound       func(r *round) // a round of a deposed leader, which has no majority
}

func noMutation() mutation {
	return mutation{
		lease:   func(_ *gateway, l *Lease) lease { return l },
		effects: func(e Effects) Effects { return e },
		subscribe: func(v *voter, at Position) Decision {
			return v.publisher.Subscribe(at, v.confirmed, v.sim.clock())
		},
		snapshot: func(*voter, *Snapshot) {},
		batch:    func(_ *connection, b *Batch) *Batch { return b },
		mark:     func(m Mark) Mark { return m },
		confirm: func(r *round) {
			r.publisher.Confirm(r.confirmation, r.through, r.leader.name)
		},
		confirmMemberLease: func(r *round) { r.voter.memberLease.ConfirmRound(r.ownHeartbeat, r.through) },
		deposedRound:       func(*round) {},
	}
}

// mutations are the seeded faults.
var mutations = []struct {
	name string
	seed func(m *mutation)
}{
	{"a lease counts from when the mark is received", func(m *mutation) {
		m.lease = func(g *gateway, l *Lease) lease { return &leaseFromReceipt{Lease: l, gateway: g} }
	}},
	{"a lease counts marks that the view has not reached", func(m *mutation) {
		m.lease = func(_ *gateway, l *Lease) lease { return leaseWithoutPosition{l} }
		m.batch = func(c *connection, b *Batch) *Batch {
			if c.sim.chance(0.05) {
				return nil
			}
			return b
		}
	}},
	{"a confirmation covers heartbeats received after it began", func(m *mutation) {
		m.confirm = func(r *round) {
			r.publisher.Confirm(r.publisher.BeginConfirmation(), r.through, r.leader.name)
		}
	}},
	{"a deposed leader confirms without a majority", func(m *mutation) {
		m.deposedRound = func(r *round) {
			r.publisher.Confirm(r.confirmation, r.publisher.Last().Revision, r.voter.name)
			r.voter.serveAll()
		}
	}},
	{"a member lease does not wait for its changes", func(m *mutation) {
		m.confirmMemberLease = func(r *round) { r.voter.memberLease.ConfirmRound(r.ownHeartbeat, 0) }
	}},
	{"a member lease counts from the end of a round", func(m *mutation) {
		m.confirmMemberLease = func(r *round) {
			r.voter.memberLease.ConfirmRound(r.voter.memberLease.BeginRound(r.voter.sim.clock()), r.through)
		}
	}},
	{"a deposed leader renews its member lease", func(m *mutation) {
		m.deposedRound = func(r *round) {
			if r.voter.memberLease != nil {
				r.voter.memberLease.ConfirmRound(r.ownHeartbeat, r.publisher.Last().Revision)
			}
		}
	}},
	{"a follower confirms by its own last change", func(m *mutation) {
		m.confirm = func(r *round) {
			r.publisher.Confirm(r.confirmation, min(r.through, r.publisher.Last().Revision), r.leader.name)
		}
	}},
	{"a mark is sent before its changes", func(m *mutation) {
		m.confirm = func(r *round) {
			r.publisher.Confirm(r.confirmation, 0, r.leader.name)
		}
	}},
	{"a round confirms the revision of the round before", func(m *mutation) {
		earlier := map[*voter]Revision{}
		m.confirm = func(r *round) {
			r.publisher.Confirm(r.confirmation, min(earlier[r.voter], r.through), r.leader.name)
			earlier[r.voter] = r.through
		}
	}},
	{"a batch is dropped, and the After of the next one hides it", func(m *mutation) {
		m.batch = dropBatch
	}},
	{"a change is dropped from a batch", func(m *mutation) {
		m.batch = dropChange
	}},
	{"two changes are swapped", func(m *mutation) {
		m.batch = swapChanges
	}},
	{"a change has its effect twice", func(m *mutation) {
		m.effects = func(e Effects) Effects {
			return &repeatedEffects{Effects: e, random: rand.New(rand.NewPCG(1, 1))}
		}
	}},
	{"the notification of missed purges is dropped", func(m *mutation) {
		m.effects = func(e Effects) Effects { return noMissedPurges{e} }
	}},
	{"a snapshot claims the position at the end of its transfer", func(m *mutation) {
		m.snapshot = func(v *voter, s *Snapshot) { s.At = v.sim.cluster.position(v.applied) }
	}},
	{"a snapshot lacks its purges", func(m *mutation) {
		m.snapshot = func(_ *voter, s *Snapshot) { s.Purges = nil }
	}},
	{"a lagging voter sends its older state", func(m *mutation) {
		m.subscribe = func(v *voter, at Position) Decision {
			if at.Revision > v.publisher.Last().Revision {
				at = Position{Term: 1}
			}
			return v.publisher.Subscribe(at, v.confirmed, v.sim.clock())
		}
	}},
	{"a lagging voter never admits", func(m *mutation) {
		m.subscribe = func(v *voter, at Position) Decision {
			return v.publisher.Subscribe(at, max(v.confirmed, at.Revision), v.sim.clock())
		}
	}},
	{"a removed subscriber still counts for the limit", func(m *mutation) {
		m.subscribe = func(v *voter, at Position) Decision {
			v.publisher.Subscribe(at, v.confirmed, v.sim.clock())
			return v.publisher.Subscribe(at, v.confirmed, v.sim.clock())
		}
	}},
}

// TestCheckerFindsMutations checks that the checker finds each seeded fault.
func TestCheckerFindsMutations(t *testing.T) {
	for _, test := range mutations {
		t.Run(test.name, func(t *testing.T) {
			m := noMutation()
			test.seed(&m)
			for seed := range uint64(mutationSeeds) {
				s := newSimulation(seed, m)
				if err := s.run(); err != nil {
					t.Logf("seed %d, %v: %v", seed, s.now, err)
					return
				}
			}
			t.Errorf("not found within %d histories", mutationSeeds)
		})
	}
}

// leaseFromReceipt renews as if each mark named a heartbeat sent when the mark is received.
type leaseFromReceipt struct {
	*Lease
	gateway *gateway
}

func (l *leaseFromReceipt) Renew(m Mark, at Position) bool {
	if !l.Lease.Renew(m, at) {
		return false
	}
	m.Heartbeat = l.Lease.Heartbeat(l.gateway.clock())
	return l.Lease.Renew(m, at)
}

// leaseWithoutPosition renews as if the view had all changes.
type leaseWithoutPosition struct{ *Lease }

func (l leaseWithoutPosition) Renew(m Mark, _ Position) bool {
	return l.Lease.Renew(m, Position{Revision: m.Through})
}

// dropBatch drops some batches, and hides this by the After of the next one.
func dropBatch(c *connection, b *Batch) *Batch {
	after := b.After
	if c.nextAfter != nil {
		after = *c.nextAfter
		c.nextAfter = nil
	}
	if c.sim.chance(0.05) {
		c.nextAfter = &after
		return nil
	}
	return &Batch{After: after, Changes: b.Changes}
}

// dropChange drops the first of several changes of some batches.
func dropChange(c *connection, b *Batch) *Batch {
	if len(b.Changes) < 2 || !c.sim.chance(0.05) {
		return b
	}
	return &Batch{After: b.After, Changes: b.Changes[1:]}
}

// swapChanges swaps the first two changes of some batches, but leaves the positions in order.
func swapChanges(c *connection, b *Batch) *Batch {
	if len(b.Changes) < 2 || !c.sim.chance(0.05) {
		return b
	}
	swapped := append([]Change{b.Changes[1], b.Changes[0]}, b.Changes[2:]...)
	swapped[0].Position, swapped[1].Position = swapped[1].Position, swapped[0].Position
	return &Batch{After: b.After, Changes: swapped}
}

// repeatedEffects notifies of some purges twice.
type repeatedEffects struct {
	Effects
	random *rand.Rand
}

func (e *repeatedEffects) Purged(c Change) {
	e.Effects.Purged(c)
	if e.random.Float64() < 0.01 {
		e.Effects.Purged(c)
	}
}

// noMissedPurges drops the notification of missed purges.
type noMissedPurges struct{ Effects }

func (noMissedPurges) PurgesMissed(int64) {}
