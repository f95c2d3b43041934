// Package member decides who is in a fleet of instances that talk: who is there, since when, how sure, and how little this
// instance itself may know. It does no I/O and asks no clock.
//
// It follows SWIM (probes in random rounds, others asked to probe as well, suspicion before a verdict, news on the back of
// probes) with what Lifeguard adds (an instance that is late doubts itself, suspicion ends sooner the more accuse), and
// builds on something both lack: a freshness for each member, which is a bound and no guess. It holds without any agreement
// of clocks: an answer left its sender after the question left here; what the sender told of third ones was as old as it
// says when it answered. So a word is never believed newer than it is, however long it was on its way.
//
// Its promises, with clocks that run at the same speed and members that tell the truth about ages:
//   - Age is never less than the true age of the newest word of that member that has come here, by whichever way.
//   - A member of which a word came that left it after a suspicion began is not gone by that suspicion; one that anyone in
//     contact with this instance hears is not declared gone here.
//   - An instance that hears nothing of others, or is not heard, says so within DeafAfter periods, and declares nobody gone
//     until it hears and is heard again. One that stood still knows on waking that all it knows is old.
//   - Whoever can exchange messages with one of a part of the fleet again is a member of it again, without help.
//   - No more members are kept than the settings say, and no message has more in it.
//
// A peer that lies can have a member suspected by those that had no word of it for three periods, until the next one comes,
// and never declared gone by those that hear it; it can make a member that is gone look fresh. Whoever holds the key is
// trusted that far.
package member

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"math/rand"
	"slices"
	"time"
)

type (
	Name    string
	Address string
	// Life is a process under a name, larger for later ones: when it started, in ns.
	Life int64
	// Seq numbers the questions of an instance.
	Seq uint64
)

// Status is what is concluded of a member.
type Status int8

const (
	Told    Status = iota // others speak of it, and no word of its own has come
	Alive                 // a word of its own has come
	Suspect               // it did not answer, and nobody told of a newer word
	Gone                  // nor until the suspicion was over
	Left                  // it said so itself
)

func (s Status) String() string {
	return [...]string{"told", "alive", "suspect", "gone", "left"}[min(max(s, Told), Left)]
}

// Contact is what is concluded of this instance itself.
type Contact int8

const (
	Alone     Contact = iota // nobody is known
	Connected                // words of two thirds of the members are fresh
	Partly                   // of fewer
	Mute                     // words come, and nobody answers what is asked here
	Deaf                     // nothing comes
)

func (c Contact) String() string {
	return [...]string{"alone", "connected", "partly", "mute", "deaf"}[min(max(c, Alone), Deaf)]
}

// Record is what is told of a member.
type Record struct {
	Name    Name
	Address Address
	Life    Life
	Turn    uint32 // how often the member has refuted suspicions in this life
	Status  Status
	By      Name // who accuses it
}

// Age is how old the newest word of a member was when it was told; Of is the member's mark.
type Age struct {
	Of  uint32
	Old time.Duration
}

// Kind of a message.
type Kind int8

const (
	Ping Kind = 1 + iota // an Ack is wanted
	Ask                  // the receiver is to ping another
	Ack                  // answers a Ping, or an Ask once the other has answered
	Nack                 // answers an Ask whose other has not answered
	Bye                  // the sender leaves
)

// Message fits a datagram.
type Message struct {
	Kind    Kind
	Seq     Seq    // of the question
	From    Record // of the sender
	To      Name   // whom the sender takes the receiver for, or none
	About   Record // whom an Ask is about, and its answer
	News    []Record
	Ages    []Age    // in answers only
	Misses  []uint32 // marks of members that are alive and don't answer the sender directly
	Parcels []Parcel
}

// Parcel is something of another module's that travels along.
type Parcel struct {
	Cargo byte
	Data  []byte
}

// Cargo is what another module has to spread. Packing and unpacking must stand loss, delay, doubling and any order.
type Cargo interface {
	// Pack gives at most so many bytes for a member, most urgent first, or none.
	Pack(now time.Duration, to Name, room int) []byte
	// Unpack is told what came, and an age that it is not older than, below 0 where none is known.
	Unpack(now time.Duration, from Name, life Life, age time.Duration, data []byte)
	// Gone tells of a member that is held for gone, or has left.
	Gone(name Name)
}

// Host carries out what is decided.
type Host interface {
	Send(to Address, m Message)       // in one datagram, which may be lost
	Exchange(to Address)              // of the full state, over a stream; Synced follows, or nothing
	WakeAt(at time.Duration)          // Tick at that time, or soon after, and not at the one asked for before
	Changed(now time.Duration, m One) // what is concluded of a member
	Turned(now time.Duration, c Contact, since time.Duration)
	Displaced(by Record) // another instance lives under this name: this one is silent from now on
}

// Settings of an instance. Zero values have the defaults that their comments tell.
type Settings struct {
	Name    Name
	Address Address
	Life    Life
	Seeds   []Address     // where others may be found
	Period  time.Duration // between probes; 1 s
	Answer  time.Duration // within which an answer to a probe is usual; half a period
	Helpers int           // asked to probe as well; 3
	Most    int           // members that are kept; 1,000
	News    int           // records in a message; 8
	Ages    int           // in an answer; 64, which fit a datagram beside most news
	Room    int           // bytes for parcels in a message; 400
	Cargo   map[byte]Cargo
}

func (s *Settings) defaults() {
	s.Period = cmp.Or(s.Period, time.Second)
	s.Answer = cmp.Or(s.Answer, s.Period/2)
	s.Helpers, s.Most = cmp.Or(s.Helpers, 3), cmp.Or(s.Most, 1000)
	s.News, s.Ages, s.Room = cmp.Or(s.News, 8), cmp.Or(s.Ages, 64), cmp.Or(s.Room, 400)
}

// One is what is known of a member.
type One struct {
	Record
	Age    time.Duration // its newest word is no older; below 0 where none has come
	Hears  time.Duration // since it last proved to hear this instance directly; below 0: it never has
	Direct time.Duration // since a message of its own last came, which may have been on its way for long; below 0: never
	Since  time.Duration // when the status was concluded
}

// peer is the state of another member.
type peer struct {
	Record
	mark     uint32
	left     time.Duration // its newest word left it then or later
	hears    time.Duration
	direct   time.Duration
	since    time.Duration
	deadline time.Duration // of a suspicion
	doubted  time.Duration // how old its newest word was as the suspicion began
	accusers []Name
	told     int // how often its record has gone out
	missed   int // probes in a row that it did not answer directly
	misses   []uint32
}

// never is a time before all others.
const never = time.Duration(math.MinInt64 / 4)

// probe is the question that is out in this period.
type probe struct {
	who    Name
	seq    Seq
	sent   time.Duration
	helped bool
	nacks  int // of helpers, expected and come
	asked  int
	done   bool
}

// favour is a probe for another.
type favour struct {
	asker Address
	to    Name
	seq   Seq
	about Record
	until time.Duration
}

// Member is the state of one instance.
type Member struct {
	host   Host
	set    Settings
	rng    *rand.Rand
	own    Record
	peers  map[Name]*peer
	names  []Name // in order
	round  []Name // left to probe in this round
	ages   []Name // left to tell ages of
	seq    Seq
	asked  map[Seq]time.Duration // when questions left, also late answers prove something
	probe  probe
	favors map[Seq]favour
	next   time.Duration // probe
	heal   time.Duration // when to try one that is gone, or a seed
	sync   time.Duration // when to exchange the full state
	syncs  int           // how often that was
	woken  time.Duration // the last Tick
	due    time.Duration // the next
	health int           // of this instance, 0 is well

	contact Contact
	turned  time.Duration
	silent  bool // displaced or left
}

// New gives an instance that has not begun.
func New(host Host, set Settings, seed int64) *Member {
	set.defaults()
	return &Member{host: host, set: set, rng: rand.New(rand.NewSource(seed)), peers: map[Name]*peer{}, asked: map[Seq]time.Duration{},
		favors: map[Seq]favour{}, own: Record{Name: set.Name, Address: set.Address, Life: set.Life, Status: Alive}}
}

// Begin starts it.
func (m *Member) Begin(now time.Duration) {
	m.woken, m.turned = now, now
	for _, s := range m.set.Seeds {
		m.greet(now, s)
	}
	// Instances that start together do not probe together.
	m.next = now + time.Duration(m.rng.Int63n(int64(m.set.Period)))
	m.heal, m.sync = now+m.set.Period, now+m.set.Period
	m.wake(m.next)
}

// Leave says good-bye to some, who spread it.
func (m *Member) Leave(now time.Duration) {
	for _, p := range m.some(now, byes, "") {
		m.send(now, p.Address, Message{Kind: Bye, To: p.Name})
	}
	m.silent = true
}

// byes are told directly that an instance leaves; news of it reaches the others within a few periods.
const byes = 8

func (m *Member) wake(at time.Duration) {
	m.due = at
	m.host.WakeAt(at)
}

// mark of a member and its life, for ages.
func mark(r Record) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Name)) // which never fails
	var life [8]byte
	for n := range life {
		life[n] = byte(r.Life >> (8 * n))
	}
	_, _ = h.Write(life[:])
	return h.Sum32()
}

// Tick is called at the time asked for, or after it.
func (m *Member) Tick(now time.Duration) {
	if m.silent {
		return
	}
	m.slept(now)
	m.woken = now
	m.step(now)
	m.expire(now)
	if now >= m.heal {
		m.reach(now)
	}
	if now >= m.sync {
		m.exchange(now)
	}
	m.judge(now)
	at := min(m.next, m.heal, m.sync)
	if !m.probe.done && m.probe.seq != 0 {
		at = min(at, m.probe.sent+m.stretch(m.set.Answer), m.probe.sent+m.stretch(m.set.Period))
	}
	for _, p := range m.peers {
		if p.Status == Suspect {
			at = min(at, p.deadline)
		}
	}
	m.wake(max(at, now+m.set.Period/20))
}

// stretch is a time as this instance's health allows it: one that is late gives others longer.
func (m *Member) stretch(d time.Duration) time.Duration { return d * time.Duration(1+m.health) }

// sickest is how bad health gets; Lifeguard's measure.
const sickest = 8

func (m *Member) feel(by int) { m.health = min(max(m.health+by, 0), sickest) }

// slept guards against accusing those that were there all along, by an instance that itself stood still: what it waited for
// came and was not heard, so every wait begins anew, and it is not well.
func (m *Member) slept(now time.Duration) {
	late := now - max(m.due, m.woken)
	if late < m.set.Period/2 {
		return
	}
	m.feel(2)
	if late >= m.set.Period {
		m.feel(sickest)
	}
	for _, p := range m.peers {
		if p.Status == Suspect {
			p.deadline += now - m.woken
		}
	}
	m.probe.done = true
	m.next = now
}

// step carries the probe of this period on, or begins the next one.
func (m *Member) step(now time.Duration) {
	if p := &m.probe; !p.done && p.seq != 0 {
		if !p.helped && now >= p.sent+m.stretch(m.set.Answer) {
			m.help(now)
		}
		if now >= p.sent+m.stretch(m.set.Period) {
			m.failed(now)
		}
	}
	for _, seq := range slices.Sorted(maps.Keys(m.favors)) { // in order, so that a seed replays
		if f := m.favors[seq]; now >= f.until {
			delete(m.favors, seq)
			m.send(now, f.asker, Message{Kind: Nack, Seq: f.seq, To: f.to, About: f.about})
		}
	}
	if now < m.next {
		return
	}
	m.next = now + m.set.Period
	m.tryTold(now)
	if m.probe.done || m.probe.seq == 0 {
		m.begin(now)
		return
	}
	// One that waits longer as it is not well asks on, or what it knows would grow old.
	for _, p := range m.some(now, 1, m.probe.who) {
		m.send(now, p.Address, Message{Kind: Ping, Seq: m.question(now), To: p.Name})
	}
}

// begin asks the next one of a round in which each comes once, in an order drawn anew.
func (m *Member) begin(now time.Duration) {
	for range 2 {
		for len(m.round) > 0 {
			who := m.round[0]
			m.round = m.round[1:]
			if p := m.peers[who]; p != nil && (p.Status == Alive || p.Status == Suspect) {
				m.probe = probe{who: who, seq: m.question(now), sent: now}
				m.send(now, p.Address, Message{Kind: Ping, Seq: m.probe.seq, To: who})
				return
			}
		}
		m.round = slices.Clone(m.names)
		m.rng.Shuffle(len(m.round), func(a, b int) { m.round[a], m.round[b] = m.round[b], m.round[a] })
	}
	m.probe = probe{done: true}
}

// tries of members that were only told of, a period. They take no probe from members: guards against whoever makes up a
// thousand names, which would have the real ones probed a thousandth as often.
const tries = 3

// tryTold asks some that were told of, those first that have spoken here themselves.
func (m *Member) tryTold(now time.Duration) {
	var spoke, others []*peer
	for _, name := range m.names {
		if p := m.peers[name]; p.Status == Told && p.direct != never {
			spoke = append(spoke, p)
		} else if p.Status == Told {
			others = append(others, p)
		}
	}
	m.rng.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	all := append(spoke, others...)
	for _, p := range all[:min(len(all), tries)] {
		m.send(now, p.Address, Message{Kind: Ping, Seq: m.question(now), To: p.Name})
	}
}

// kept is for how many questions an answer still proves something.
const kept = 64

func (m *Member) question(now time.Duration) Seq {
	m.seq++
	m.asked[m.seq] = now
	delete(m.asked, m.seq-kept)
	return m.seq
}

// help asks others to probe as well, as the way from here may be what is broken.
func (m *Member) help(now time.Duration) {
	p := &m.probe
	p.helped = true
	target := m.peers[p.who]
	if target == nil {
		p.done = true
		return
	}
	target.missed++
	for _, helper := range m.some(now, m.set.Helpers, p.who) {
		p.asked++
		m.asked[p.seq] = p.sent
		m.send(now, helper.Address, Message{Kind: Ask, Seq: p.seq, To: helper.Name, About: target.Record})
	}
}

// some gives so many others at random, those that are alive first.
func (m *Member) some(now time.Duration, many int, but Name) (some []*peer) {
	for _, n := range m.rng.Perm(len(m.names)) {
		if p := m.peers[m.names[n]]; p.Status == Alive && p.Name != but && len(some) < many {
			some = append(some, p)
		}
	}
	return some
}

// failed concludes that nobody here reaches a member, unless a word of it came by any other way since the probe left, or
// shortly before.
func (m *Member) failed(now time.Duration) {
	p := m.probe
	m.probe.done = true
	// Helpers that say nothing at all, not even no, are a sign that this instance is not heard.
	if p.asked > p.nacks {
		m.feel(1)
	}
	who := m.peers[p.who]
	if who == nil || who.Status > Suspect || who.left >= p.sent-m.trust() {
		return
	}
	m.suspect(now, who, m.own.Name)
}

// trust is how old a word may be that still excuses a probe without an answer: words go round in some periods.
func (m *Member) trust() time.Duration { return 2 * m.set.Period }

// suspect begins a suspicion, or adds an accuser to one.
func (m *Member) suspect(now time.Duration, p *peer, by Name) {
	if p.Status != Suspect {
		p.accusers = p.accusers[:0]
		p.By = by
		m.conclude(now, p, Suspect)
		p.doubted = min(now-p.left, m.FreshWithin())
		p.deadline = now + m.patience(p, 0)
	}
	if !slices.Contains(p.accusers, by) && len(p.accusers) <= m.set.Helpers {
		p.accusers = append(p.accusers, by)
		p.deadline = min(p.deadline, max(p.since+m.patience(p, len(p.accusers)-1), now))
	}
}

// patience is how long a suspicion lasts: the longer the larger the fleet, as news and refutations take longer, and the
// shorter the more accuse. Least is what news takes to reach all and come back, three times over; with one accuser it is
// three times as long (Lifeguard has six: freshness excuses most before). And it is twice as long as its words were old
// before, and some periods: guards against declaring gone, while all accuse it, who is heard over several others only.
func (m *Member) patience(p *peer, confirmed int) time.Duration {
	least := 3 * math.Max(1, math.Log10(float64(len(m.names)+1)))
	most := 3 * least
	part := math.Log(float64(confirmed+1)) / math.Log(float64(m.set.Helpers+1))
	return max(time.Duration(math.Max(least, most-(most-least)*part)*float64(m.set.Period)), 2*p.doubted+3*m.set.Period)
}

// expire ends suspicions. An instance that is not in contact doubts itself first.
func (m *Member) expire(now time.Duration) {
	for _, name := range slices.Clone(m.names) {
		p := m.peers[name]
		switch {
		case p.Status == Suspect && now >= p.deadline:
			if c := m.contactNow(now); c == Deaf || c == Mute {
				p.deadline = now + m.set.Period
			} else {
				m.conclude(now, p, Gone)
			}
		case p.Status >= Gone && now-p.since > forgetAfter, p.Status == Told && now-p.since > toldFor:
			m.forget(p)
		}
	}
}

// One that is gone is tried again for an hour, longer than a split that nobody mends; one that was only told of and answers
// nothing is dropped after half a minute.
const forgetAfter, toldFor = time.Hour, 30 * time.Second

func (m *Member) forget(p *peer) {
	delete(m.peers, p.Name)
	if at, is := slices.BinarySearch(m.names, p.Name); is {
		m.names = slices.Delete(m.names, at, at+1)
	}
}

func (m *Member) conclude(now time.Duration, p *peer, s Status) {
	if p.Status == s {
		return
	}
	p.Status, p.since, p.told = s, now, 0
	if s != Suspect {
		p.accusers = p.accusers[:0]
		p.By = ""
	}
	if s == Gone {
		p.By = m.own.Name
	}
	if s >= Gone {
		for _, cargo := range m.set.Cargo {
			cargo.Gone(p.Name)
		}
	}
	m.host.Changed(now, m.one(now, p))
}

// healEvery periods one that is gone, or a seed, is tried, as after a split nobody else would; while nobody is known every
// period.
const healEvery = 5

func (m *Member) reach(now time.Duration) {
	var gone []*peer
	alive := 0
	for _, name := range m.names {
		switch p := m.peers[name]; p.Status {
		case Gone:
			gone = append(gone, p)
		case Alive, Suspect:
			alive++
		}
	}
	m.heal = now + healEvery*m.set.Period
	if alive == 0 {
		m.heal = now + m.set.Period
	}
	if many := len(gone) + len(m.set.Seeds); many > 0 {
		if n := m.rng.Intn(many); n < len(gone) {
			m.greet(now, gone[n].Address)
		} else {
			m.greet(now, m.set.Seeds[n-len(gone)])
		}
	}
}

// greet asks whoever is at an address.
func (m *Member) greet(now time.Duration, at Address) {
	if at != m.own.Address {
		m.send(now, at, Message{Kind: Ping, Seq: m.question(now)})
	}
}

// syncEvery periods the full state is exchanged with one other, for what news have missed; spread by chance over the fleet.
// One that has begun does so sooner, after waits that double: where many begin together, news alone take a minute for 300.
const syncEvery = 30

func (m *Member) exchange(now time.Duration) {
	wait := min(syncEvery, 1<<min(m.syncs, 5))
	m.syncs++
	m.sync = now + time.Duration((0.5+m.rng.Float64())*float64(wait)*float64(m.set.Period))
	if some := m.some(now, 1, ""); len(some) > 0 {
		m.host.Exchange(some[0].Address)
	}
}

// send adds what goes along.
func (m *Member) send(now time.Duration, to Address, msg Message) {
	if m.silent {
		return
	}
	msg.From = m.own
	msg.Misses = m.misses()
	msg.News = append(msg.News, m.news(m.set.News-len(msg.News))...)
	if msg.Kind == Ack || msg.Kind == Nack {
		msg.Ages = m.tellAges(now, m.set.Ages)
	}
	if p := m.peers[msg.To]; p != nil && p.Status == Alive {
		room := m.set.Room
		for id := range 256 {
			if cargo := m.set.Cargo[byte(id)]; cargo != nil {
				if data := cargo.Pack(now, msg.To, room); len(data) > 0 && len(data) <= room {
					msg.Parcels = append(msg.Parcels, Parcel{byte(id), data})
					room -= len(data)
				}
			}
		}
	}
	m.host.Send(to, msg)
}

// missAfter is how many probes without a direct answer make a link that is told of; mostMisses are told. One lost datagram
// is usual, and who hears hardly anybody says so by its contact.
const missAfter, mostMisses = 2, 16

func (m *Member) misses() (marks []uint32) {
	for _, name := range m.names {
		if p := m.peers[name]; p.Status == Alive && p.missed >= missAfter && len(marks) < mostMisses {
			marks = append(marks, p.mark)
		}
	}
	return marks
}

// news are the records that have gone out least, up to a number of times that grows with the fleet, as rumours need to
// reach all.
func (m *Member) news(most int) (news []Record) {
	times := int(4 * math.Ceil(math.Log2(float64(len(m.names)+2))))
	var fresh []*peer
	for _, name := range m.names {
		if p := m.peers[name]; p.told < times && p.Status != Told {
			fresh = append(fresh, p)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *peer) int { return cmp.Compare(a.told, b.told) })
	for _, p := range fresh[:min(len(fresh), most)] {
		p.told++
		news = append(news, p.Record)
	}
	return news
}

// tellAges goes through the members in turn.
func (m *Member) tellAges(now time.Duration, most int) (ages []Age) {
	for range m.names {
		if len(ages) == most {
			break
		}
		if len(m.ages) == 0 {
			// By chance: what does not fit a datagram is cut off, and must not be the same each time.
			m.ages = slices.Clone(m.names)
			m.rng.Shuffle(len(m.ages), func(a, b int) { m.ages[a], m.ages[b] = m.ages[b], m.ages[a] })
		}
		p := m.peers[m.ages[0]]
		if m.ages = m.ages[1:]; p != nil && p.left != never && p.Status <= Suspect {
			ages = append(ages, Age{p.mark, now - p.left})
		}
	}
	return ages
}

// Heard is told of a message.
func (m *Member) Heard(now time.Duration, from Address, msg Message) {
	if m.silent || msg.From.Name == "" || msg.To != "" && msg.To != m.own.Name {
		return // for whoever had this address before
	}
	if msg.From.Name == m.own.Name {
		m.namesake(msg.From)
		return
	}
	p := m.meet(now, msg.From)
	if p == nil {
		return // no room
	}
	if msg.From.Life < p.Life {
		// A process that is over, or one that does not know that another has its name, and that nobody speaks to any more.
		if msg.Kind == Ping && p.Status == Alive {
			m.send(now, msg.From.Address, Message{Kind: Nack, Seq: msg.Seq, News: []Record{p.Record}})
		}
		return
	}
	p.direct = now
	m.refuted(now, p, msg.From)
	base := never
	if msg.Kind == Ack || msg.Kind == Nack {
		if sent, known := m.asked[msg.Seq]; known {
			base = sent
		}
	}
	m.learn(now, base, p, msg)
	switch msg.Kind {
	case Ping:
		m.send(now, p.Address, Message{Kind: Ack, Seq: msg.Seq, To: p.Name})
	case Ask:
		m.favour(now, p, msg)
	case Ack:
		m.answered(now, p, msg, base)
	case Nack:
		if m.probe.seq == msg.Seq {
			m.probe.nacks++
		}
	case Bye:
		m.conclude(now, p, Left)
	}
	for _, parcel := range msg.Parcels {
		if cargo := m.set.Cargo[parcel.Cargo]; cargo != nil {
			age := time.Duration(-1)
			if base != never {
				age = now - base
			}
			cargo.Unpack(now, p.Name, p.Life, age, parcel.Data)
		}
	}
}

// learn takes what goes along with a message: news, and with an answer ages, which were true after the question left.
func (m *Member) learn(now, base time.Duration, from *peer, msg Message) {
	if base != never {
		m.proven(now, from, base)
		from.hears, from.missed = max(from.hears, base), 0
		m.learnAges(now, base, msg.Ages)
	}
	from.misses = msg.Misses
	for _, r := range msg.News {
		m.toldOf(now, from.Name, r)
	}
}

func (m *Member) learnAges(now, base time.Duration, ages []Age) {
	if len(ages) == 0 {
		return
	}
	byMark := make(map[uint32]*peer, len(m.peers))
	for _, p := range m.peers {
		if byMark[p.mark] != nil { // two of one mark: believed of neither
			byMark[p.mark] = &peer{}
			continue
		}
		byMark[p.mark] = p
	}
	for _, a := range ages {
		if p := byMark[a.Of]; p != nil && p.Name != "" && a.Old >= 0 {
			m.proven(now, p, base-a.Old)
		}
	}
}

// proven takes a word of a member that left it at a time or later.
func (m *Member) proven(now time.Duration, p *peer, left time.Duration) {
	if left <= p.left {
		return
	}
	p.left = left
	switch {
	case p.Status == Told, p.Status == Suspect && left > p.since, p.Status == Gone && left > p.since:
		m.conclude(now, p, Alive)
	}
}

// answered takes an answer to a question of this instance, or one that it asked for another.
func (m *Member) answered(now time.Duration, p *peer, msg Message, base time.Duration) {
	if f, is := m.favors[msg.Seq]; is && f.about.Name == p.Name {
		delete(m.favors, msg.Seq)
		m.send(now, f.asker, Message{Kind: Ack, Seq: f.seq, To: f.to, About: p.Record})
	}
	if base == never {
		return
	}
	if about := m.peers[msg.About.Name]; about != nil && about.Life == msg.About.Life {
		m.proven(now, about, base) // it answered a helper that was asked after the question left
	}
	if q := &m.probe; q.seq == msg.Seq && !q.done && (p.Name == q.who || msg.About.Name == q.who) {
		q.done = true
		m.feel(-1)
	}
}

// mostFavours that are under way at once, for whoever asks.
const mostFavours = 64

// favour probes one for another. A helper that can't says no before the asker has given up.
func (m *Member) favour(now time.Duration, p *peer, msg Message) {
	if len(m.favors) >= mostFavours || msg.About.Name == m.own.Name {
		return
	}
	seq := m.question(now)
	m.favors[seq] = favour{p.Address, p.Name, msg.Seq, msg.About, now + m.set.Answer*4/5}
	m.send(now, msg.About.Address, Message{Kind: Ping, Seq: seq, To: msg.About.Name})
	if at := now + m.set.Answer*4/5; at < m.due {
		m.wake(at)
	}
}

// meet finds a member, or takes it in while there is room; a newer life of one takes the place of the older.
func (m *Member) meet(now time.Duration, r Record) *peer {
	p := m.peers[r.Name]
	if p != nil && r.Life <= p.Life {
		return p
	}
	if p == nil {
		if len(m.peers) >= m.set.Most && !m.makeRoom() {
			return nil
		}
		at, _ := slices.BinarySearch(m.names, r.Name)
		m.names = slices.Insert(m.names, at, r.Name)
		// In the round that is under way at a place by chance, or newcomers would be probed last in it.
		at = m.rng.Intn(len(m.round) + 1)
		m.round = slices.Insert(m.round, at, r.Name)
	}
	r.Status, r.By = Told, ""
	p = &peer{Record: r, mark: mark(r), left: never, hears: never, direct: never, since: now}
	m.peers[r.Name] = p
	return p
}

// makeRoom forgets one that was only told of, or one that is gone for longest.
func (m *Member) makeRoom() bool {
	var oldest *peer
	for _, name := range m.names {
		p := m.peers[name]
		if p.Status == Told && p.direct == never {
			m.forget(p)
			return true
		}
		if p.Status >= Gone && (oldest == nil || p.since < oldest.since) {
			oldest = p
		}
	}
	if oldest != nil {
		m.forget(oldest)
	}
	return oldest != nil
}

// refuted takes what a member says of itself.
func (m *Member) refuted(now time.Duration, p *peer, r Record) {
	p.Address = r.Address
	if r.Turn > p.Turn {
		p.Turn = r.Turn
		if p.Status == Suspect || p.Status == Gone {
			m.conclude(now, p, Alive)
		}
	}
}

// toldOf takes what another says of a member.
func (m *Member) toldOf(now time.Duration, by Name, r Record) {
	if r.Name == m.own.Name {
		m.toldOfMe(r)
		return
	}
	known := m.peers[r.Name] != nil
	if !known && r.Status >= Gone {
		return // no news to whom it was never there
	}
	p := m.meet(now, r)
	if p == nil || r.Life < p.Life {
		return
	}
	switch {
	case r.Turn > p.Turn && r.Status <= Alive: // it has refuted
		m.refuted(now, p, r)
	case r.Status >= Suspect && r.Turn >= p.Turn && p.Status != Gone && p.Status != Left:
		// An accusation counts only where nothing newer is known: whoever hears a member can't be told that it is gone.
		if now-p.left > m.freshFor() {
			p.Turn = r.Turn
			m.suspect(now, p, cmp.Or(r.By, by))
		}
	}
}

// freshFor is how old a word may be for an accusation to be passed over.
func (m *Member) freshFor() time.Duration { return 3 * m.set.Period }

// toldOfMe refutes.
func (m *Member) toldOfMe(r Record) {
	switch {
	case r.Life > m.own.Life:
		m.namesake(r)
	case r.Life == m.own.Life && r.Status >= Suspect && r.Turn >= m.own.Turn:
		m.own.Turn = r.Turn + 1
		m.feel(1)
	}
}

// namesake guards against two instances under one name: the later one stays.
func (m *Member) namesake(r Record) {
	if r.Life > m.own.Life && !m.silent {
		m.silent = true
		m.host.Displaced(r)
	}
}

// State is all records and ages, for an exchange.
func (m *Member) State(now time.Duration) (from Record, all []Record, ages []Age) {
	for _, name := range m.names {
		if p := m.peers[name]; p.Status != Told {
			all = append(all, p.Record)
		}
	}
	return m.own, all, m.tellAges(now, len(m.names))
}

// Synced is told of the state of another. asked is when it was asked for, or below 0 where it came unasked: then its ages
// prove nothing.
func (m *Member) Synced(now, asked time.Duration, from Record, all []Record, ages []Age) {
	if m.silent || from.Name == m.own.Name || from.Name == "" {
		return
	}
	p := m.meet(now, from)
	if p == nil || from.Life < p.Life {
		return
	}
	p.direct = now
	m.refuted(now, p, from)
	for _, r := range all[:min(len(all), m.set.Most)] {
		m.toldOf(now, from.Name, r)
	}
	if asked >= 0 {
		m.proven(now, p, asked)
		p.hears = max(p.hears, asked)
		m.learnAges(now, asked, ages)
	}
}
