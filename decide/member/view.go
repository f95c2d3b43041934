package member

import (
	"math"
	"time"
)

// DeafAfter is in how many periods without an answer an instance says that it is deaf or mute. Each period asks one member,
// and others on its behalf: with three messages in ten lost seven in ten periods have an answer.
const DeafAfter = 5

// lossSpan is how long members that are gone count against contact: one that lost half of its fleet a minute ago may be on
// the smaller side of a split.
const lossSpan = time.Minute

// FreshWithin is the age up to which a word counts as fresh: what words take to go round the fleet, some periods and as many
// answers as it takes to tell all ages, twice.
func (m *Member) FreshWithin() time.Duration {
	rounds := 6 + 2*math.Ceil(float64(len(m.names))/float64(m.set.Ages))
	return time.Duration(rounds) * m.set.Period
}

// contactNow works out the verdict on this instance itself.
func (m *Member) contactNow(now time.Duration) Contact {
	counted, fresh := 0, 0
	newest, direct := never, never
	for _, name := range m.names {
		p := m.peers[name]
		newest, direct = max(newest, p.hears), max(direct, p.direct)
		if p.Status == Alive || p.Status == Suspect || p.Status == Gone && now-p.since < lossSpan {
			counted++
			if now-p.left <= m.FreshWithin() {
				fresh++
			}
		}
	}
	limit := DeafAfter * m.set.Period
	switch {
	case counted == 0:
		return Alone
	case now-newest > limit && now-direct > limit:
		return Deaf
	case now-newest > limit:
		return Mute
	case 3*fresh < 2*counted:
		return Partly
	}
	return Connected
}

func (m *Member) judge(now time.Duration) {
	if c := m.contactNow(now); c != m.contact {
		m.contact, m.turned = c, now
		m.host.Turned(now, c, now)
	}
}

// Contact is the verdict on this instance now, and since when. It is worked out anew, so that one that stood still knows
// before it acts.
func (m *Member) Contact(now time.Duration) (Contact, time.Duration) {
	m.judge(now)
	return m.contact, m.turned
}

func (m *Member) one(now time.Duration, p *peer) One {
	since := func(t time.Duration) time.Duration {
		if t == never {
			return -1
		}
		return now - t
	}
	return One{Record: p.Record, Age: since(p.left), Hears: since(p.hears), Direct: since(p.direct), Since: p.since}
}

// Members are all others that are known, by name.
func (m *Member) Members(now time.Duration) (all []One) {
	for _, name := range m.names {
		all = append(all, m.one(now, m.peers[name]))
	}
	return all
}

// Own is what this instance says of itself.
func (m *Member) Own() Record { return m.own }

// Age bounds the age of a member's newest word, below 0 where none has come.
func (m *Member) Age(now time.Duration, name Name) time.Duration {
	if p := m.peers[name]; p != nil && p.left != never {
		return now - p.left
	}
	return -1
}

// Missing is a link that does not carry: By does not hear Whom directly, though both are alive.
type Missing struct{ By, Whom Name }

// Missed are the links that this instance knows not to carry, by its own probes and by what members say of theirs, by name. A
// link that carries one way is told of by both, as neither gets its probes answered.
func (m *Member) Missed() (all []Missing) {
	byMark := map[uint32]Name{mark(m.own): m.own.Name}
	for _, p := range m.peers {
		byMark[p.mark] = p.Name
	}
	add := func(by Name, marks []uint32) {
		for _, x := range marks {
			whom := byMark[x]
			if p := m.peers[whom]; whom == m.own.Name || p != nil && p.Status == Alive {
				all = append(all, Missing{by, whom})
			}
		}
	}
	add(m.own.Name, m.misses())
	for _, name := range m.names {
		if p := m.peers[name]; p.Status == Alive {
			add(name, p.misses)
		}
	}
	return all
}
