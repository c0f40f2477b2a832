package kwdirectcontrol

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwraft"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwtime"
)

// joinLogInterval is the time between two log lines on failed requests to join.
const joinLogInterval = time.Second

// redundancy is how many voters the replicated log has, and what is left of them.
type redundancy struct {
	voters, silent, learners int
}

// membership maintains this process's membership of the replicated log and, while it leads, that of all members.
type membership struct {
	server *Server
	member *logMember
	// voter is 1 while this process is a voter. The others describe the log while this process leads it, and are 0 otherwise.
	voter, voters, silent, learners metrics.Gauge
	// seen is what was last logged.
	seen redundancy
	// joinLogged is when a failed request to join was last logged.
	joinLogged time.Time
}

func newMembership(s *Server, m *logMember) *membership {
	return &membership{
		server:   s,
		member:   m,
		voter:    metrics.GetOrRegisterGauge("control.voter", s.deps.Metrics),
		voters:   metrics.GetOrRegisterGauge("control.voters", s.deps.Metrics),
		silent:   metrics.GetOrRegisterGauge("control.voters.silent", s.deps.Metrics),
		learners: metrics.GetOrRegisterGauge("control.learners", s.deps.Metrics),
	}
}

// run tells discovery of the state of this member, and asks the leader to add it while it is outside the log. While this process leads, it
// applies the autopilot's membership changes.
func (m *membership) run() {
	s := m.server
	autopilot := s.cfg.autopilot()
	for s.ctx.Err() == nil {
		kwtime.Sleep(s.ctx, membershipInterval)
		var status kwraft.Status
		var position kwraft.Position
		var change *kwraft.MembershipChange
		silent := 0
		m.member.loop.Log(func(now time.Time, n *kwraft.Node) {
			status, position = n.Status(), n.MembersPosition()
			silent = len(n.SilentVoters(now, autopilot.VoterTimeout))
			next, ok := autopilot.NextChange(now, n)
			if !ok {
				return
			}
			if _, err := n.ChangeMembers(now, next); err == nil {
				change = &next
			}
		})
		if change != nil {
			s.deps.Events.Emit(kwevent.MembersChanged, "", kwevent.F("promote", change.Promote),
				kwevent.F("remove", change.Remove), kwevent.F("voters", len(status.Members.Voters)))
		}
		m.report(status, silent, autopilot.TargetVoters)
		outside := s.discovery.updateOwn(status, position)
		m.member.outside.Store(outside)
		if outside {
			m.requestJoin()
		}
	}
}

// report updates the metrics and logs changes of the log's redundancy while this process leads.
func (m *membership) report(status kwraft.Status, silent, wanted int) {
	var now redundancy
	if status.Role == kwraft.Leader {
		now = redundancy{voters: len(status.Members.Voters), silent: silent, learners: len(status.Members.Learners)}
	}
	m.voters.Update(int64(now.voters))
	m.silent.Update(int64(now.silent))
	m.learners.Update(int64(now.learners))
	m.voter.Update(0)
	if status.Members.IsVoter(m.member.id) {
		m.voter.Update(1)
	}
	if now != m.seen && status.Role == kwraft.Leader {
		m.server.deps.Events.Emit(kwevent.RedundancyChanged, "", kwevent.F("voters", now.voters), kwevent.F("silent", now.silent),
			kwevent.F("learners", now.learners), kwevent.F("wanted", wanted))
	}
	m.seen = now
}

// requestJoin asks the leader to add this member; the leader logs the change, and the next check repeats a failed request.
func (m *membership) requestJoin() {
	s := m.server
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	err := s.leaderClient.Call(ctx, kwdirectproto.KindAddMember, kwdirectproto.AddMember{Member: m.member.id}, nil, 0)
	if err == nil || s.ctx.Err() != nil || time.Since(m.joinLogged) < joinLogInterval {
		return
	}
	m.joinLogged = time.Now()
	s.deps.Events.Emit(kwevent.JoinFailed, "", kwevent.F("member", m.member.id), kwevent.F("error", err.Error()))
}
