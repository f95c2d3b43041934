// Package membership implements group membership for a fleet of instances: which members there are, their status, and how well
// this instance itself is connected. It does no I/O and reads no clock; callers pass in the time, and a Host carries out what
// is decided.
//
// The protocol is SWIM (probes in randomized rounds, indirect probes through helpers, suspicion before a member is declared
// gone, updates piggybacked on the probes) with extensions of Lifeguard (an instance that runs late raises its local health
// multiplier and gives others more time; a suspicion times out sooner the more members confirm it).
//
// In addition, it keeps for each member an upper bound on the age of its newest sign of life, that is, of the newest message
// that the member sent, whether it arrived here or others reported it. The bound needs no synchronized clocks: an answer left
// its sender after the request left here, and what the sender reported of third members was as old as stated when it answered.
// So a sign of life is never taken for newer than it is, no matter how long messages were in transit.
//
// Guarantees, provided that all clocks run at the same speed and members report ages truthfully:
//   - Age is never less than the true age of the member's newest sign of life known here, direct or reported.
//   - A suspicion does not end in Gone once a sign of life is known that the member sent after the suspicion began. A member
//     that is heard by anyone in contact with this instance is not declared gone here.
//   - An instance that hears nothing of others, or that others do not hear, reports so within DeafAfterPeriods periods, and
//     declares nobody gone until messages pass in both directions again. An instance that was paused knows on resuming that
//     all its information is old.
//   - An instance that can again exchange messages with one member of a part of the fleet rejoins that part without help.
//   - The number of members kept and the content of each message stay within Settings.
//
// A peer that lies can have a member suspected by instances that had no sign of life of it for three periods, until the next
// one arrives, but cannot have it declared gone by instances that hear it. It can make a member that is gone look fresh.
// Whoever holds the shared key is trusted that far.
package membership

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
	// Name identifies a member. It stays the same across restarts.
	Name string
	// Address is where a member receives messages.
	Address string
	// Generation tells apart the processes that run under one name: the start time in ns, larger for later ones.
	Generation int64
	// Seq numbers the requests (Ping, PingReq) of an instance.
	Seq uint64
)

// Status is the state of a member as this instance sees it.
type Status int8

const (
	Unverified Status = iota // reported by others; no sign of life of its own is known yet
	Alive                    // a sign of life is known
	Suspect                  // it did not answer a probe, and nobody reported a newer sign of life
	Gone                     // the suspicion timed out without a newer sign of life
	Left                     // it announced that it leaves
)

func (s Status) String() string {
	return [...]string{"told", "alive", "suspect", "gone", "left"}[min(max(s, Unverified), Left)]
}

// Contact is how well this instance itself is connected to the others.
type Contact int8

const (
	Alone     Contact = iota // no other member is known
	Connected                // the signs of life of at least two thirds of the members are fresh
	Partial                  // those of fewer than two thirds are fresh
	Mute                     // messages arrive, but no requests of this instance are answered
	Deaf                     // no messages arrive
)

func (c Contact) String() string {
	return [...]string{"alone", "connected", "partly", "mute", "deaf"}[min(max(c, Alone), Deaf)]
}

// Record is a membership update: the state of a member as one instance sees it.
type Record struct {
	Name        Name
	Address     Address
	Generation  Generation
	Incarnation uint32 // incarnation number: how often the member has refuted a suspicion in this life
	Status      Status
	AccusedBy   Name // the member that suspects it, if any
}

// Age reports how old the newest sign of life of a member was when the message was sent. Hash is the memberHash of the member.
type Age struct {
	Hash uint32
	Age  time.Duration
}

// Kind is the type of a message.
type Kind int8

const (
	Ping    Kind = 1 + iota // requests an Ack
	PingReq                 // requests that the receiver pings the target on behalf of the sender
	Ack                     // answers a Ping, or a PingReq once the target has answered
	Nack                    // answers a PingReq whose target has not answered in time
	Leave                   // the sender leaves the fleet
)

// Message is what is sent in one datagram. The transport may cut optional parts off to make it fit.
type Message struct {
	Kind        Kind
	Seq         Seq      // of the request; an answer repeats it
	From        Record   // the sender's record of itself
	To          Name     // whom the sender expects at the address; empty if unknown
	Target      Record   // whom a PingReq, and the answer to it, is about
	Updates     []Record // piggybacked membership updates
	Ages        []Age    // in Ack and Nack only
	Unreachable []uint32 // hashes of members that are alive but do not answer the sender's direct probes
	Payloads    []Payload
}

// Payload is data of another module that is piggybacked on a message. Type is its key in Settings.Piggyback.
type Payload struct {
	Type byte
	Data []byte
}

// Piggyback is a module whose data is piggybacked on messages. It must tolerate loss, delay, duplication and reordering.
type Piggyback interface {
	// Pack returns at most room bytes for a member, the most urgent data first, or nothing.
	Pack(now time.Duration, to Name, room int) []byte
	// Unpack takes data that a member sent. The data is no older than age; age is negative if no bound is known.
	Unpack(now time.Duration, from Name, life Generation, age time.Duration, data []byte)
	// MemberGone is called when a member is declared gone or has left.
	MemberGone(name Name)
}

// Host carries out what a Member decides. Member calls it from within its own methods.
type Host interface {
	// Send sends a message in one datagram, which may be lost.
	Send(to Address, m Message)
	// ExchangeState starts an exchange of the full state over a stream. HandleState is called with the answer if one arrives.
	ExchangeState(to Address)
	// WakeAt schedules Tick for that time or soon after, and replaces the time scheduled before.
	WakeAt(at time.Duration)
	// StatusChanged reports a member whose status has changed.
	StatusChanged(now time.Duration, m Info)
	// ContactChanged reports that the contact of this instance has changed, and since when it is so.
	ContactChanged(now time.Duration, c Contact, since time.Duration)
	// Displaced reports that a later instance runs under this name. This instance sends nothing from now on.
	Displaced(by Record)
}

// Settings configures an instance. A zero value stands for the default that the comment names.
type Settings struct {
	Name            Name
	Address         Address
	Generation      Generation
	Seeds           []Address          // addresses to join through
	Period          time.Duration      // protocol period, the time between probes; default 1 s
	AckTimeout      time.Duration      // time for a direct probe to be answered before indirect probes are sent; default half a period
	IndirectProbes  int                // members that are asked for an indirect probe; default 3
	MaxMembers      int                // members that are kept; default 1,000
	MaxUpdates      int                // updates in a message; default 8
	MaxAges         int                // ages in an answer; default 64, which fit into a datagram together with most sets of updates
	MaxPayloadBytes int                // bytes of payloads in a message; default 400
	Piggyback       map[byte]Piggyback // modules whose data is piggybacked, by payload type
}

func (s *Settings) defaults() {
	s.Period = cmp.Or(s.Period, time.Second)
	s.AckTimeout = cmp.Or(s.AckTimeout, s.Period/2)
	s.IndirectProbes, s.MaxMembers = cmp.Or(s.IndirectProbes, 3), cmp.Or(s.MaxMembers, 1000)
	s.MaxUpdates, s.MaxAges, s.MaxPayloadBytes = cmp.Or(s.MaxUpdates, 8), cmp.Or(s.MaxAges, 64), cmp.Or(s.MaxPayloadBytes, 400)
}

// Info is what is known about a member.
type Info struct {
	Record
	Age           time.Duration // upper bound on the age of its newest sign of life; negative if there is none
	SinceHeardUs  time.Duration // time since it last proved to receive this instance's messages directly; negative if never
	SinceReceived time.Duration // time since its last message arrived, however long that was in transit; negative if never
	StatusSince   time.Duration // time at which the status was set
}

// peer is the state of another member. Times are on the clock that callers pass in, or never.
type peer struct {
	Record
	hash              uint32
	lastAlive         time.Duration // its newest known sign of life was sent at this time or later
	heardUs           time.Duration // when the newest request was sent that it answered directly
	lastReceived      time.Duration // when a message of its own last arrived
	statusSince       time.Duration // when the status was set
	suspicionDeadline time.Duration // when the suspicion ends in Gone
	ageWhenSuspected  time.Duration // how old its newest sign of life was when the suspicion began, at most MaxFreshAge
	accusers          []Name        // members that suspect it
	timesSent         int           // how often its record has been sent
	missedProbes      int           // probes in a row that it did not answer directly
	unreachable       []uint32      // members that it cannot reach directly, as it last reported
}

// never is a time before all others. It is a quarter of the smallest value so that differences do not overflow.
const never = time.Duration(math.MinInt64 / 4)

// probe is the probe of the current period.
type probe struct {
	target   Name
	seq      Seq
	sentAt   time.Duration
	indirect bool // indirect probes were requested
	nacks    int  // Nack answers received from helpers
	helpers  int  // helpers asked
	done     bool
}

// relayedPing is a ping that this instance sends on behalf of a member that asked with a PingReq.
type relayedPing struct {
	requester     Address
	requesterName Name
	requestSeq    Seq // of the PingReq
	target        Record
	deadline      time.Duration // when a Nack is sent to the requester
}

// Member is the protocol state of one instance. It is not safe for concurrent use.
type Member struct {
	host        Host
	settings    Settings
	rng         *rand.Rand
	own         Record
	peers       map[Name]*peer
	names       []Name                // of the peers, sorted
	probeRound  []Name                // members still to be probed in this round
	ageRound    []Name                // members whose ages are still to be reported in this round
	lastSeq     Seq                   // of the last request
	requestedAt map[Seq]time.Duration // when requests were sent; late answers too are signs of life
	probe       probe
	relayed     map[Seq]relayedPing
	nextProbe   time.Duration // when the next probe is due
	nextRejoin  time.Duration // when to ping a member that is gone, or a seed
	nextSync    time.Duration // when to exchange the full state
	syncCount   int           // exchanges started so far
	lastTick    time.Duration // the last Tick
	nextTick    time.Duration // the time that the next Tick is scheduled for
	healthScore int           // Lifeguard's local health score; timeouts are multiplied by 1 + healthScore, 0 is healthy

	contact      Contact
	contactSince time.Duration // since when contact is so
	silent       bool          // displaced or left: sends and handles nothing
}

// New returns an instance that does nothing until Start is called. Equal seeds replay equal decisions.
func New(host Host, settings Settings, seed int64) *Member {
	settings.defaults()
	return &Member{host: host, settings: settings, rng: rand.New(rand.NewSource(seed)), peers: map[Name]*peer{},
		requestedAt: map[Seq]time.Duration{}, relayed: map[Seq]relayedPing{},
		own: Record{Name: settings.Name, Address: settings.Address, Generation: settings.Generation, Status: Alive}}
}

// Start pings the seeds and schedules the first Tick.
func (m *Member) Start(now time.Duration) {
	m.lastTick, m.contactSince = now, now
	for _, seed := range m.settings.Seeds {
		m.pingAddress(now, seed)
	}
	// A random offset keeps instances that start together from probing in step.
	m.nextProbe = now + time.Duration(m.rng.Int63n(int64(m.settings.Period)))
	m.nextRejoin, m.nextSync = now+m.settings.Period, now+m.settings.Period
	m.wakeAt(m.nextProbe)
}

// Leave announces to some members that this instance leaves, and stops it. They disseminate the news.
func (m *Member) Leave(now time.Duration) {
	for _, p := range m.randomAlive(now, leaveFanout, "") {
		m.send(now, p.Address, Message{Kind: Leave, To: p.Name})
	}
	m.silent = true
}

// leaveFanout is how many members are notified directly of a leave; updates reach the others within a few periods.
const leaveFanout = 8

func (m *Member) wakeAt(at time.Duration) {
	m.nextTick = at
	m.host.WakeAt(at)
}

// memberHash identifies a member and its life in ages and in reports of unreachable members.
func memberHash(r Record) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Name)) // never fails
	var lifeBytes [8]byte
	for i := range lifeBytes {
		lifeBytes[i] = byte(r.Generation >> (8 * i))
	}
	_, _ = h.Write(lifeBytes[:])
	return h.Sum32()
}

// Tick does what is due: probes, timeouts, rejoining, state exchange. The host calls it at the time passed to WakeAt, or later.
func (m *Member) Tick(now time.Duration) {
	if m.silent {
		return
	}
	m.detectPause(now)
	m.lastTick = now
	m.advanceProbes(now)
	m.expirePeers(now)
	if now >= m.nextRejoin {
		m.rejoin(now)
	}
	if now >= m.nextSync {
		m.startSync(now)
	}
	m.updateContact(now)
	at := min(m.nextProbe, m.nextRejoin, m.nextSync)
	if !m.probe.done && m.probe.seq != 0 {
		at = min(at, m.probe.sentAt+m.scaled(m.settings.AckTimeout), m.probe.sentAt+m.scaled(m.settings.Period))
	}
	for _, p := range m.peers {
		if p.Status == Suspect {
			at = min(at, p.suspicionDeadline)
		}
	}
	m.wakeAt(max(at, now+m.settings.Period/20))
}

// scaled multiplies a timeout by the local health multiplier: an instance that runs late gives others more time.
func (m *Member) scaled(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+m.healthScore)
}

// maxHealthScore limits healthScore; the value is that of Lifeguard.
const maxHealthScore = 8

func (m *Member) adjustHealth(delta int) {
	m.healthScore = min(max(m.healthScore+delta, 0), maxHealthScore)
}

// detectPause keeps an instance that was itself paused from accusing members that were alive all along: the answers that it
// waited for may have arrived and been lost. So it drops the current probe, extends all suspicions by the pause, and raises
// its health score.
func (m *Member) detectPause(now time.Duration) {
	lateBy := now - max(m.nextTick, m.lastTick)
	if lateBy < m.settings.Period/2 {
		return
	}
	m.adjustHealth(2)
	if lateBy >= m.settings.Period {
		m.adjustHealth(maxHealthScore)
	}
	for _, p := range m.peers {
		if p.Status == Suspect {
			p.suspicionDeadline += now - m.lastTick
		}
	}
	m.probe.done = true
	m.nextProbe = now
}

// advanceProbes moves the current probe on, answers relayed pings that timed out, and starts the next probe when it is due.
func (m *Member) advanceProbes(now time.Duration) {
	if p := &m.probe; !p.done && p.seq != 0 {
		if !p.indirect && now >= p.sentAt+m.scaled(m.settings.AckTimeout) {
			m.sendPingReqs(now)
		}
		if now >= p.sentAt+m.scaled(m.settings.Period) {
			m.probeFailed(now)
		}
	}
	for _, seq := range slices.Sorted(maps.Keys(m.relayed)) { // sorted, so that a seed replays the same decisions
		if ping := m.relayed[seq]; now >= ping.deadline {
			delete(m.relayed, seq)
			m.send(now, ping.requester, Message{Kind: Nack, Seq: ping.requestSeq, To: ping.requesterName, Target: ping.target})
		}
	}
	if now < m.nextProbe {
		return
	}
	m.nextProbe = now + m.settings.Period
	m.pingUnverified(now)
	if m.probe.done || m.probe.seq == 0 {
		m.startProbe(now)
		return
	}
	// An instance with a raised health score waits for its probe over several periods. It pings others meanwhile, or the signs
	// of life that it knows would grow old.
	for _, p := range m.randomAlive(now, 1, m.probe.target) {
		m.send(now, p.Address, Message{Kind: Ping, Seq: m.newRequest(now), To: p.Name})
	}
}

// startProbe pings the next member of the round. Each round visits every member once, in a new random order.
func (m *Member) startProbe(now time.Duration) {
	for range 2 {
		for len(m.probeRound) > 0 {
			name := m.probeRound[0]
			m.probeRound = m.probeRound[1:]
			if p := m.peers[name]; p != nil && (p.Status == Alive || p.Status == Suspect) {
				m.probe = probe{target: name, seq: m.newRequest(now), sentAt: now}
				m.send(now, p.Address, Message{Kind: Ping, Seq: m.probe.seq, To: name})
				return
			}
		}
		m.probeRound = slices.Clone(m.names)
		m.rng.Shuffle(len(m.probeRound), func(a, b int) { m.probeRound[a], m.probeRound[b] = m.probeRound[b], m.probeRound[a] })
	}
	m.probe = probe{done: true}
}

// unverifiedPings is how many unverified members are pinged per period. These pings are sent in addition to the probe of the
// period: a peer that makes up a thousand names would otherwise have the real members probed a thousandth as often.
const unverifiedPings = 3

// pingUnverified pings some unverified members, first those that have sent a message to this instance.
func (m *Member) pingUnverified(now time.Duration) {
	var heardFrom, others []*peer
	for _, name := range m.names {
		if p := m.peers[name]; p.Status == Unverified && p.lastReceived != never {
			heardFrom = append(heardFrom, p)
		} else if p.Status == Unverified {
			others = append(others, p)
		}
	}
	m.rng.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	candidates := append(heardFrom, others...)
	for _, p := range candidates[:min(len(candidates), unverifiedPings)] {
		m.send(now, p.Address, Message{Kind: Ping, Seq: m.newRequest(now), To: p.Name})
	}
}

// trackedRequests is how many of the newest requests are kept; answers to older ones are no signs of life.
const trackedRequests = 64

func (m *Member) newRequest(now time.Duration) Seq {
	m.lastSeq++
	m.requestedAt[m.lastSeq] = now
	delete(m.requestedAt, m.lastSeq-trackedRequests)
	return m.lastSeq
}

// sendPingReqs asks helpers for indirect probes of the target, as it may be only the link from here that fails.
func (m *Member) sendPingReqs(now time.Duration) {
	p := &m.probe
	p.indirect = true
	target := m.peers[p.target]
	if target == nil {
		p.done = true
		return
	}
	target.missedProbes++
	for _, helper := range m.randomAlive(now, m.settings.IndirectProbes, p.target) {
		p.helpers++
		m.requestedAt[p.seq] = p.sentAt
		m.send(now, helper.Address, Message{Kind: PingReq, Seq: p.seq, To: helper.Name, Target: target.Record})
	}
}

// randomAlive returns up to count random members that are alive, without the excluded one.
func (m *Member) randomAlive(now time.Duration, count int, exclude Name) (picked []*peer) {
	for _, i := range m.rng.Perm(len(m.names)) {
		if p := m.peers[m.names[i]]; p.Status == Alive && p.Name != exclude && len(picked) < count {
			picked = append(picked, p)
		}
	}
	return picked
}

// probeFailed suspects the target of a probe that got no answer, direct or indirect, unless another path brought a sign of
// life that was sent after the probe or shortly before it.
func (m *Member) probeFailed(now time.Duration) {
	p := m.probe
	m.probe.done = true
	// Helpers that send not even a Nack indicate that this instance's own messages or the answers to them get lost.
	if p.helpers > p.nacks {
		m.adjustHealth(1)
	}
	target := m.peers[p.target]
	if target == nil || target.Status > Suspect || target.lastAlive >= p.sentAt-m.probeExcuse() {
		return
	}
	m.suspect(now, target, m.own.Name)
}

// probeExcuse is how much older than the probe a sign of life may be and still prevent a suspicion: it takes some periods
// until a sign of life has reached all members.
func (m *Member) probeExcuse() time.Duration { return 2 * m.settings.Period }

// suspect starts a suspicion, or adds an accuser to it, which shortens the timeout.
func (m *Member) suspect(now time.Duration, p *peer, accuser Name) {
	if p.Status != Suspect {
		p.accusers = p.accusers[:0]
		p.AccusedBy = accuser
		m.setStatus(now, p, Suspect)
		p.ageWhenSuspected = min(now-p.lastAlive, m.MaxFreshAge())
		p.suspicionDeadline = now + m.suspicionTimeout(p, 0)
	}
	if !slices.Contains(p.accusers, accuser) && len(p.accusers) <= m.settings.IndirectProbes {
		p.accusers = append(p.accusers, accuser)
		p.suspicionDeadline = min(p.suspicionDeadline, max(p.statusSince+m.suspicionTimeout(p, len(p.accusers)-1), now))
	}
}

// suspicionTimeout is how long a suspicion lasts. It grows with the size of the fleet, as updates and refutations take longer,
// and shrinks with the number of members that confirm the suspicion. The minimum is three times what an update takes to reach
// all members and its refutation to come back. With a single accuser it is three times the minimum (six times in Lifeguard;
// here a recent sign of life prevents most suspicions beforehand).
//
// It is also at least twice the age that the newest sign of life had when the suspicion began, plus three periods. Otherwise a
// member that is heard only through several intermediate members would be declared gone while all accuse it.
func (m *Member) suspicionTimeout(p *peer, confirmations int) time.Duration {
	minPeriods := 3 * math.Max(1, math.Log10(float64(len(m.names)+1)))
	maxPeriods := 3 * minPeriods
	fraction := math.Log(float64(confirmations+1)) / math.Log(float64(m.settings.IndirectProbes+1))
	return max(time.Duration(math.Max(minPeriods, maxPeriods-(maxPeriods-minPeriods)*fraction)*float64(m.settings.Period)),
		2*p.ageWhenSuspected+3*m.settings.Period)
}

// expirePeers ends suspicions that timed out and removes peers that are kept no longer. An instance that is Deaf or Mute extends
// suspicions instead, as the fault is likely its own.
func (m *Member) expirePeers(now time.Duration) {
	for _, name := range slices.Clone(m.names) {
		p := m.peers[name]
		switch {
		case p.Status == Suspect && now >= p.suspicionDeadline:
			if c := m.computeContact(now); c == Deaf || c == Mute {
				p.suspicionDeadline = now + m.settings.Period
			} else {
				m.setStatus(now, p, Gone)
			}
		case p.Status >= Gone && now-p.statusSince > goneRetention, p.Status == Unverified && now-p.statusSince > unverifiedRetention:
			m.remove(p)
		}
	}
}

// A member that is gone is kept, and pinged now and then, for an hour, which is longer than a network partition stays
// unrepaired. An unverified member that answers nothing is dropped after half a minute.
const goneRetention, unverifiedRetention = time.Hour, 30 * time.Second

func (m *Member) remove(p *peer) {
	delete(m.peers, p.Name)
	if i, found := slices.BinarySearch(m.names, p.Name); found {
		m.names = slices.Delete(m.names, i, i+1)
	}
}

func (m *Member) setStatus(now time.Duration, p *peer, status Status) {
	if p.Status == status {
		return
	}
	p.Status, p.statusSince, p.timesSent = status, now, 0
	if status != Suspect {
		p.accusers = p.accusers[:0]
		p.AccusedBy = ""
	}
	if status == Gone {
		p.AccusedBy = m.own.Name
	}
	if status >= Gone {
		for _, cargo := range m.settings.Piggyback {
			cargo.MemberGone(p.Name)
		}
	}
	m.host.StatusChanged(now, m.info(now, p))
}

// rejoinPeriods is how often, in periods, a random member that is gone, or a seed, is pinged: after a partition nothing else
// would reconnect the parts. While no member is alive it is done every period.
const rejoinPeriods = 5

func (m *Member) rejoin(now time.Duration) {
	var gone []*peer
	aliveCount := 0
	for _, name := range m.names {
		switch p := m.peers[name]; p.Status {
		case Gone:
			gone = append(gone, p)
		case Alive, Suspect:
			aliveCount++
		}
	}
	m.nextRejoin = now + rejoinPeriods*m.settings.Period
	if aliveCount == 0 {
		m.nextRejoin = now + m.settings.Period
	}
	if candidates := len(gone) + len(m.settings.Seeds); candidates > 0 {
		if i := m.rng.Intn(candidates); i < len(gone) {
			m.pingAddress(now, gone[i].Address)
		} else {
			m.pingAddress(now, m.settings.Seeds[i-len(gone)])
		}
	}
}

// pingAddress pings whoever is at an address, under any name.
func (m *Member) pingAddress(now time.Duration, address Address) {
	if address != m.own.Address {
		m.send(now, address, Message{Kind: Ping, Seq: m.newRequest(now)})
	}
}

// syncPeriods is the mean number of periods between exchanges of the full state with a random member (anti-entropy), which
// repair what updates have missed. The times are randomized to spread the load over the fleet. After a start the wait
// is one period and doubles up to this: where 300 instances start together, updates alone take a minute to make all known.
const syncPeriods = 30

func (m *Member) startSync(now time.Duration) {
	periods := min(syncPeriods, 1<<min(m.syncCount, 5))
	m.syncCount++
	m.nextSync = now + time.Duration((0.5+m.rng.Float64())*float64(periods)*float64(m.settings.Period))
	if picked := m.randomAlive(now, 1, ""); len(picked) > 0 {
		m.host.ExchangeState(picked[0].Address)
	}
}

// send completes a message with updates, ages and payloads, and sends it.
func (m *Member) send(now time.Duration, to Address, msg Message) {
	if m.silent {
		return
	}
	msg.From = m.own
	msg.Unreachable = m.unreachablePeers()
	msg.Updates = append(msg.Updates, m.updates(m.settings.MaxUpdates-len(msg.Updates))...)
	if msg.Kind == Ack || msg.Kind == Nack {
		msg.Ages = m.nextAges(now, m.settings.MaxAges)
	}
	if p := m.peers[msg.To]; p != nil && p.Status == Alive {
		bytesLeft := m.settings.MaxPayloadBytes
		for payloadType := range 256 {
			if cargo := m.settings.Piggyback[byte(payloadType)]; cargo != nil {
				if data := cargo.Pack(now, msg.To, bytesLeft); len(data) > 0 && len(data) <= bytesLeft {
					msg.Payloads = append(msg.Payloads, Payload{byte(payloadType), data})
					bytesLeft -= len(data)
				}
			}
		}
	}
	m.host.Send(to, msg)
}

// unreachableAfter is how many probes in a row must go without a direct answer before a link is reported as broken; a single
// lost datagram is usual. maxUnreachable limits the report; an instance that reaches hardly anybody says so by its Contact.
const unreachableAfter, maxUnreachable = 2, 16

func (m *Member) unreachablePeers() (hashes []uint32) {
	for _, name := range m.names {
		if p := m.peers[name]; p.Status == Alive && p.missedProbes >= unreachableAfter && len(hashes) < maxUnreachable {
			hashes = append(hashes, p.hash)
		}
	}
	return hashes
}

// updates returns up to limit records to piggyback, the least often sent first. A record is sent a number of times that grows
// with the logarithm of the fleet's size, which gossip needs to reach all members.
func (m *Member) updates(limit int) (records []Record) {
	maxSends := int(4 * math.Ceil(math.Log2(float64(len(m.names)+2))))
	var pending []*peer
	for _, name := range m.names {
		if p := m.peers[name]; p.timesSent < maxSends && p.Status != Unverified {
			pending = append(pending, p)
		}
	}
	slices.SortStableFunc(pending, func(a, b *peer) int { return cmp.Compare(a.timesSent, b.timesSent) })
	for _, p := range pending[:min(len(pending), limit)] {
		p.timesSent++
		records = append(records, p.Record)
	}
	return records
}

// nextAges returns up to limit ages, and goes on with the remaining members at the next call.
func (m *Member) nextAges(now time.Duration, limit int) (ages []Age) {
	for range m.names {
		if len(ages) == limit {
			break
		}
		if len(m.ageRound) == 0 {
			// Shuffled: ages that do not fit into a datagram are cut off, and these must not be of the same members each time.
			m.ageRound = slices.Clone(m.names)
			m.rng.Shuffle(len(m.ageRound), func(a, b int) { m.ageRound[a], m.ageRound[b] = m.ageRound[b], m.ageRound[a] })
		}
		p := m.peers[m.ageRound[0]]
		if m.ageRound = m.ageRound[1:]; p != nil && p.lastAlive != never && p.Status <= Suspect {
			ages = append(ages, Age{p.hash, now - p.lastAlive})
		}
	}
	return ages
}

// HandleMessage processes a message that has arrived.
func (m *Member) HandleMessage(now time.Duration, from Address, msg Message) {
	if m.silent || msg.From.Name == "" || msg.To != "" && msg.To != m.own.Name {
		return // sent to an instance that had this address before
	}
	if msg.From.Name == m.own.Name {
		m.checkDisplaced(msg.From)
		return
	}
	p := m.findOrAdd(now, msg.From)
	if p == nil {
		return // the member table is full
	}
	if msg.From.Generation < p.Generation {
		// A late message of an earlier process under this name, or one that still runs and is to learn that it was replaced.
		if msg.Kind == Ping && p.Status == Alive {
			m.send(now, msg.From.Address, Message{Kind: Nack, Seq: msg.Seq, Updates: []Record{p.Record}})
		}
		return
	}
	p.lastReceived = now
	m.applySelfReport(now, p, msg.From)
	requestSentAt := never
	if msg.Kind == Ack || msg.Kind == Nack {
		if sentAt, known := m.requestedAt[msg.Seq]; known {
			requestSentAt = sentAt
		}
	}
	m.processPiggyback(now, requestSentAt, p, msg)
	switch msg.Kind {
	case Ping:
		m.send(now, p.Address, Message{Kind: Ack, Seq: msg.Seq, To: p.Name})
	case PingReq:
		m.relayPing(now, p, msg)
	case Ack:
		m.handleAck(now, p, msg, requestSentAt)
	case Nack:
		if m.probe.seq == msg.Seq {
			m.probe.nacks++
		}
	case Leave:
		m.setStatus(now, p, Left)
	}
	for _, payload := range msg.Payloads {
		if cargo := m.settings.Piggyback[payload.Type]; cargo != nil {
			maxAge := time.Duration(-1)
			if requestSentAt != never {
				maxAge = now - requestSentAt
			}
			cargo.Unpack(now, p.Name, p.Generation, maxAge, payload.Data)
		}
	}
}

// processPiggyback takes the updates of a message. An answer to a known request is also a sign of life, and its ages, which were
// correct when the answer was sent, are applied as of requestSentAt. requestSentAt is never for other messages.
func (m *Member) processPiggyback(now, requestSentAt time.Duration, from *peer, msg Message) {
	if requestSentAt != never {
		m.recordAlive(now, from, requestSentAt)
		from.heardUs, from.missedProbes = max(from.heardUs, requestSentAt), 0
		m.applyAges(now, requestSentAt, msg.Ages)
	}
	from.unreachable = msg.Unreachable
	for _, r := range msg.Updates {
		m.applyUpdate(now, from.Name, r)
	}
}

func (m *Member) applyAges(now, requestSentAt time.Duration, ages []Age) {
	if len(ages) == 0 {
		return
	}
	byHash := make(map[uint32]*peer, len(m.peers))
	for _, p := range m.peers {
		if byHash[p.hash] != nil { // hash collision: used for neither
			byHash[p.hash] = &peer{}
			continue
		}
		byHash[p.hash] = p
	}
	for _, a := range ages {
		if p := byHash[a.Hash]; p != nil && p.Name != "" && a.Age >= 0 {
			m.recordAlive(now, p, requestSentAt-a.Age)
		}
	}
}

// recordAlive records a sign of life that a member sent at sentAt or later. It ends a suspicion that began before.
func (m *Member) recordAlive(now time.Duration, p *peer, sentAt time.Duration) {
	if sentAt <= p.lastAlive {
		return
	}
	p.lastAlive = sentAt
	switch {
	case p.Status == Unverified, p.Status == Suspect && sentAt > p.statusSince, p.Status == Gone && sentAt > p.statusSince:
		m.setStatus(now, p, Alive)
	}
}

// handleAck processes an answer to a request of this instance, and passes on the answer to a relayed ping. requestSentAt is when
// the request was sent, or never if the request is not tracked any more.
func (m *Member) handleAck(now time.Duration, p *peer, msg Message, requestSentAt time.Duration) {
	if ping, found := m.relayed[msg.Seq]; found && ping.target.Name == p.Name {
		delete(m.relayed, msg.Seq)
		m.send(now, ping.requester, Message{Kind: Ack, Seq: ping.requestSeq, To: ping.requesterName, Target: p.Record})
	}
	if requestSentAt == never {
		return
	}
	if target := m.peers[msg.Target.Name]; target != nil && target.Generation == msg.Target.Generation {
		m.recordAlive(now, target, requestSentAt) // it answered the helper, which was asked after the request was sent
	}
	if current := &m.probe; current.seq == msg.Seq && !current.done && (p.Name == current.target || msg.Target.Name == current.target) {
		current.done = true
		m.adjustHealth(-1)
	}
}

// maxRelayedPings limits the pings under way at once on behalf of others, whoever asks.
const maxRelayedPings = 64

// relayPing pings the target of a PingReq. If the target does not answer, a Nack is sent before the requester's timeout.
func (m *Member) relayPing(now time.Duration, requester *peer, msg Message) {
	if len(m.relayed) >= maxRelayedPings || msg.Target.Name == m.own.Name {
		return
	}
	seq := m.newRequest(now)
	m.relayed[seq] = relayedPing{requester.Address, requester.Name, msg.Seq, msg.Target, now + m.settings.AckTimeout*4/5}
	m.send(now, msg.Target.Address, Message{Kind: Ping, Seq: seq, To: msg.Target.Name})
	if deadline := now + m.settings.AckTimeout*4/5; deadline < m.nextTick {
		m.wakeAt(deadline)
	}
}

// findOrAdd returns the peer of a record. It adds one that is not known, and replaces an earlier life by a later one. It
// returns nil if the table is full of members that cannot be evicted.
func (m *Member) findOrAdd(now time.Duration, r Record) *peer {
	p := m.peers[r.Name]
	if p != nil && r.Generation <= p.Generation {
		return p
	}
	if p == nil {
		if len(m.peers) >= m.settings.MaxMembers && !m.evict() {
			return nil
		}
		i, _ := slices.BinarySearch(m.names, r.Name)
		m.names = slices.Insert(m.names, i, r.Name)
		// At a random position of the current round, or new members would always be probed last.
		i = m.rng.Intn(len(m.probeRound) + 1)
		m.probeRound = slices.Insert(m.probeRound, i, r.Name)
	}
	r.Status, r.AccusedBy = Unverified, ""
	p = &peer{Record: r, hash: memberHash(r), lastAlive: never, heardUs: never, lastReceived: never, statusSince: now}
	m.peers[r.Name] = p
	return p
}

// evict removes an unverified member that has sent nothing here, or else the one that has been gone or left for longest. It
// reports whether there was one.
func (m *Member) evict() bool {
	var oldest *peer
	for _, name := range m.names {
		p := m.peers[name]
		if p.Status == Unverified && p.lastReceived == never {
			m.remove(p)
			return true
		}
		if p.Status >= Gone && (oldest == nil || p.statusSince < oldest.statusSince) {
			oldest = p
		}
	}
	if oldest != nil {
		m.remove(oldest)
	}
	return oldest != nil
}

// applySelfReport applies what a member says about itself. A higher incarnation number refutes a suspicion.
func (m *Member) applySelfReport(now time.Duration, p *peer, r Record) {
	p.Address = r.Address
	if r.Incarnation > p.Incarnation {
		p.Incarnation = r.Incarnation
		if p.Status == Suspect || p.Status == Gone {
			m.setStatus(now, p, Alive)
		}
	}
}

// applyUpdate applies a record that sender has sent of a member.
func (m *Member) applyUpdate(now time.Duration, sender Name, r Record) {
	if r.Name == m.own.Name {
		m.applyUpdateOnSelf(r)
		return
	}
	known := m.peers[r.Name] != nil
	if !known && r.Status >= Gone {
		return // a member that has never been known here need not be added to be declared gone
	}
	p := m.findOrAdd(now, r)
	if p == nil || r.Generation < p.Generation {
		return
	}
	switch {
	case r.Incarnation > p.Incarnation && r.Status <= Alive: // the member has refuted a suspicion
		m.applySelfReport(now, p, r)
	case r.Status >= Suspect && r.Incarnation >= p.Incarnation && p.Status != Gone && p.Status != Left:
		// An accusation counts only without a recent sign of life: an instance that hears a member cannot be talked into
		// declaring it gone.
		if now-p.lastAlive > m.accusationImmunity() {
			p.Incarnation = r.Incarnation
			m.suspect(now, p, cmp.Or(r.AccusedBy, sender))
		}
	}
}

// accusationImmunity is up to which age a sign of life makes accusations by others ignored.
func (m *Member) accusationImmunity() time.Duration { return 3 * m.settings.Period }

// applyUpdateOnSelf refutes an accusation against this instance by raising its incarnation number above that of the accusation.
func (m *Member) applyUpdateOnSelf(r Record) {
	switch {
	case r.Generation > m.own.Generation:
		m.checkDisplaced(r)
	case r.Generation == m.own.Generation && r.Status >= Suspect && r.Incarnation >= m.own.Incarnation:
		m.own.Incarnation = r.Incarnation + 1
		m.adjustHealth(1)
	}
}

// checkDisplaced resolves two instances under one name: the one that started later stays, the earlier one falls silent.
func (m *Member) checkDisplaced(r Record) {
	if r.Generation > m.own.Generation && !m.silent {
		m.silent = true
		m.host.Displaced(r)
	}
}

// State returns the own record, the records of all members except unverified ones, and all known ages, for an exchange of the
// full state.
func (m *Member) State(now time.Duration) (from Record, records []Record, ages []Age) {
	for _, name := range m.names {
		if p := m.peers[name]; p.Status != Unverified {
			records = append(records, p.Record)
		}
	}
	return m.own, records, m.nextAges(now, len(m.names))
}

// HandleState processes the full state of another member. requestedAt is when it was requested, or negative for a state that
// came unrequested, whose ages are not used, as nothing bounds its time in transit.
func (m *Member) HandleState(now, requestedAt time.Duration, from Record, records []Record, ages []Age) {
	if m.silent || from.Name == m.own.Name || from.Name == "" {
		return
	}
	p := m.findOrAdd(now, from)
	if p == nil || from.Generation < p.Generation {
		return
	}
	p.lastReceived = now
	m.applySelfReport(now, p, from)
	for _, r := range records[:min(len(records), m.settings.MaxMembers)] {
		m.applyUpdate(now, from.Name, r)
	}
	if requestedAt >= 0 {
		m.recordAlive(now, p, requestedAt)
		p.heardUs = max(p.heardUs, requestedAt)
		m.applyAges(now, requestedAt, ages)
	}
}
