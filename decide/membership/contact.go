package membership

import (
	"math"
	"time"
)

// DeafAfterPeriods is after how many periods without an answer an instance reports itself Deaf or Mute. In each period it
// probes one member, directly and through helpers: with 30% of the messages lost, 70% of the periods have an answer.
const DeafAfterPeriods = 5

// goneCountedFor is how long members that are gone still count as not fresh in Contact: an instance that lost half of its
// fleet less than a minute ago may be on the smaller side of a network partition.
const goneCountedFor = time.Minute

// MaxFreshAge is the age up to which a sign of life counts as fresh. It is the time that a sign of life takes to reach the
// whole fleet: some periods, plus twice as many as there are answers needed to report the ages of all members.
func (m *Member) MaxFreshAge() time.Duration {
	rounds := 6 + 2*math.Ceil(float64(len(m.names))/float64(m.settings.MaxAges))
	return time.Duration(rounds) * m.settings.Period
}

// computeContact derives the contact of this instance from how recently messages and answers of the others came.
func (m *Member) computeContact(now time.Duration) Contact {
	counted, fresh := 0, 0
	newestAnswer, newestMessage := never, never
	for _, name := range m.names {
		p := m.peers[name]
		newestAnswer, newestMessage = max(newestAnswer, p.heardUs), max(newestMessage, p.lastReceived)
		if p.Status == Alive || p.Status == Suspect || p.Status == Gone && now-p.statusSince < goneCountedFor {
			counted++
			if now-p.lastAlive <= m.MaxFreshAge() {
				fresh++
			}
		}
	}
	limit := DeafAfterPeriods * m.settings.Period
	switch {
	case counted == 0:
		return Alone
	case now-newestAnswer > limit && now-newestMessage > limit:
		return Deaf
	case now-newestAnswer > limit:
		return Mute
	case 3*fresh < 2*counted:
		return Partial
	}
	return Connected
}

// updateContact recomputes the contact and reports a change to the host.
func (m *Member) updateContact(now time.Duration) {
	if contact := m.computeContact(now); contact != m.contact {
		m.contact, m.contactSince = contact, now
		m.host.ContactChanged(now, contact, now)
	}
}

// Contact returns the contact of this instance and the time since when it is so. It is recomputed at each call, so that an
// instance that was paused learns that its information is old before it acts on it.
func (m *Member) Contact(now time.Duration) (Contact, time.Duration) {
	m.updateContact(now)
	return m.contact, m.contactSince
}

func (m *Member) info(now time.Duration, p *peer) Info {
	elapsed := func(t time.Duration) time.Duration {
		if t == never {
			return -1
		}
		return now - t
	}
	return Info{Record: p.Record, Age: elapsed(p.lastAlive), SinceHeardUs: elapsed(p.heardUs), SinceReceived: elapsed(p.lastReceived),
		StatusSince: p.statusSince}
}

// Members returns all other members that are known, sorted by name.
func (m *Member) Members(now time.Duration) (infos []Info) {
	for _, name := range m.names {
		infos = append(infos, m.info(now, m.peers[name]))
	}
	return infos
}

// Own returns the record of this instance.
func (m *Member) Own() Record { return m.own }

// Age returns an upper bound on the age of a member's newest sign of life, or a negative value if none is known.
func (m *Member) Age(now time.Duration, name Name) time.Duration {
	if p := m.peers[name]; p != nil && p.lastAlive != never {
		return now - p.lastAlive
	}
	return -1
}

// BrokenLink is a link on which direct probes are not answered: From does not get answers of To directly, though both are alive.
type BrokenLink struct{ From, To Name }

// BrokenLinks returns the broken links that this instance knows of, from its own probes and from what members report of theirs:
// its own first, then sorted by the reporting member. A link that fails in one direction only is reported by both ends, as
// neither gets its probes answered.
func (m *Member) BrokenLinks() (links []BrokenLink) {
	nameByHash := map[uint32]Name{memberHash(m.own): m.own.Name}
	for _, p := range m.peers {
		nameByHash[p.hash] = p.Name
	}
	add := func(by Name, hashes []uint32) {
		for _, hash := range hashes {
			whom := nameByHash[hash]
			if p := m.peers[whom]; whom == m.own.Name || p != nil && p.Status == Alive {
				links = append(links, BrokenLink{by, whom})
			}
		}
	}
	add(m.own.Name, m.unreachablePeers())
	for _, name := range m.names {
		if p := m.peers[name]; p.Status == Alive {
			add(name, p.unreachable)
		}
	}
	return links
}
