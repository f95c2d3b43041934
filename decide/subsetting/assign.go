// Package subsetting assigns subsets of the engines to controllers, so that a fleet whose controllers do not communicate uses all
// engines evenly. The assignment follows from a controller's number, the number of controllers and the list of engines. It also
// spreads actions of controllers over time (Jitter). It does no I/O and reads no clock.
//
// It guarantees, for controllers with the same list and the same size of subsets: every engine is in the subsets of the same
// number of controllers, within one, or of a number in proportion to its capacity; no controller has an engine twice; the engines
// of a subset are distributed over locations like all engines; a change of one engine moves few engines of subsets other than
// that engine. A smaller subset consists of the first engines of an order, and a larger one continues with the engines after
// them, in a pseudorandom order that differs by controller.
package subsetting

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

type (
	EngineID string
	Location string
)

// Engine is an engine of the list that accepts jobs.
type Engine struct {
	ID       EngineID
	Location Location
	Capacity float64 // relative to the other engines, for example in cores; 0 counts as 1
}

// mix hashes a number with the published finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// engineKey returns the hash of an id.
func engineKey(id EngineID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // Write of a hash never fails
	return mix(h.Sum64())
}

// Order returns all engines in the order in which the controller with the given number, counted from 0, includes them in its
// subset. The first ones are its subset of the assigned size. Order computes the subsets of the whole fleet, as they depend on
// each other: this takes a fraction of a millisecond for hundreds of controllers and a few milliseconds for thousands, once for
// each list. It returns nil for a number out of range.
func Order(engines []Engine, controllers, number, subsetSize int) []EngineID {
	a := assign(engines, controllers, subsetSize)
	if number < 0 || number >= len(a.subsets) {
		return nil
	}
	ranks := make([]uint64, len(a.engines))
	subset, others := a.subsets[number], make([]int, 0, len(a.engines))
	salt := mix(uint64(number))
	for e := range a.engines {
		if ranks[e] = a.rank(salt, e); !a.members[number].has(e) {
			others = append(others, e)
		}
	}
	byRank := func(a, b int) int { return cmp.Compare(ranks[b], ranks[a]) }
	slices.SortFunc(subset, byRank)
	slices.SortFunc(others, byRank)
	ids := make([]EngineID, 0, len(a.engines))
	for _, e := range slices.Concat(subset, others) {
		ids = append(ids, a.engines[e].ID)
	}
	return ids
}

// assignment is the assignment of subsets for one list of engines. Engines, locations and controllers are referred to by index.
type assignment struct {
	engines         []Engine // ascending by key
	keys            []uint64
	weights         []float64 // capacities divided by their mean
	locations       [][]int   // engines of each location; locations ascending by name
	locationWeights []float64 // total weight of each location
	subsets         [][]int   // subset of each controller
	remaining       []int     // for each engine, number of controllers still to be assigned
	members         []bitset  // the subsets as sets
	ranked          [][][]int // by controller and location, its highest ranked engines that it has not tried yet
	rankedLen       int       // length of these lists
}

// bitset is a bit set of engines.
type bitset []uint64

func newBitset(size int) bitset { return make(bitset, (size+63)/64) }

func (s bitset) has(e int) bool { return s[e/64]&(1<<(e%64)) != 0 }
func (s bitset) add(e int)      { s[e/64] |= 1 << (e % 64) }
func (s bitset) remove(e int)   { s[e/64] &^= 1 << (e % 64) }

// assign assigns a subset of the given size to each controller.
func assign(list []Engine, controllers, size int) *assignment {
	a := &assignment{subsets: make([][]int, max(controllers, 1))}
	a.sortByKey(list)
	byLocation := map[Location][]int{}
	a.setWeights()
	for n, e := range a.engines {
		byLocation[e.Location] = append(byLocation[e.Location], n)
	}
	var names []Location
	for name := range byLocation {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		a.locations = append(a.locations, byLocation[name])
		sum := 0.0
		for _, e := range byLocation[name] {
			sum += a.weights[e]
		}
		a.locationWeights = append(a.locationWeights, sum)
	}
	size = min(max(size, 0), len(a.engines))
	a.rankedLen = size/max(len(a.locations), 1) + extraRanked
	a.ranked, a.members = make([][][]int, len(a.subsets)), make([]bitset, len(a.subsets))
	for controller := range a.members {
		a.members[controller] = newBitset(len(a.engines))
	}
	a.setRemaining(size * len(a.subsets))
	// In each round every controller gets one engine. Rounds alternate in order, so that the last controllers are not always
	// left with the engines that no other one chose.
	for round := range size {
		for n := range a.subsets {
			controller := n
			if round%2 == 1 {
				controller = len(a.subsets) - 1 - n
			}
			a.assignNext(controller, a.locationFor(controller, round, size))
		}
	}
	return a
}

// sortByKey sets the engines and their keys, ascending by key and without duplicates.
func (a *assignment) sortByKey(list []Engine) {
	type keyed struct {
		key uint64
		Engine
	}
	all := make([]keyed, len(list))
	for n, e := range list {
		all[n] = keyed{engineKey(e.ID), e}
	}
	slices.SortFunc(all, func(a, b keyed) int { return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.ID, b.ID)) })
	for n, e := range all {
		if n > 0 && e.ID == all[n-1].ID {
			continue
		}
		a.engines, a.keys = append(a.engines, e.Engine), append(a.keys, e.key)
	}
}

// setWeights sets the weights of the engines: their capacities divided by the mean capacity.
func (a *assignment) setWeights() {
	sum := 0.0
	for _, e := range a.engines {
		a.weights = append(a.weights, cmp.Or(math.Max(e.Capacity, 0), 1))
		sum += a.weights[len(a.weights)-1]
	}
	for n := range a.weights {
		a.weights[n] *= float64(len(a.engines)) / sum
	}
}

// setRemaining sets the number of controllers of each engine, in proportion to capacity but never above the number of
// controllers. The fractions lost by rounding down go to the engines that lost most; among equals to those first by key,
// alternating between locations.
func (a *assignment) setRemaining(total int) {
	a.remaining = make([]int, len(a.engines))
	var order []int
	for turn := 0; len(order) < len(a.engines); turn++ {
		for _, location := range a.locations {
			if turn < len(location) {
				order = append(order, location[turn])
			}
		}
	}
	shares := make([]float64, len(a.engines))
	for {
		unassigned, weight := float64(total), 0.0
		for e := range shares {
			if shares[e] = float64(len(a.subsets)); a.remaining[e] < 0 { // in the subsets of all controllers
				unassigned -= shares[e]
			} else {
				weight += a.weights[e]
			}
		}
		capped := false
		for e := range shares {
			if a.remaining[e] < 0 {
				continue
			}
			if shares[e] = unassigned * a.weights[e] / weight; shares[e] >= float64(len(a.subsets)) {
				shares[e], a.remaining[e], capped = float64(len(a.subsets)), -1, true
			}
		}
		if !capped {
			break
		}
	}
	for e := range shares {
		a.remaining[e] = int(shares[e] + 1e-9) // corrects for rounding errors in shares that should be whole numbers
		shares[e] -= float64(a.remaining[e])
		total -= a.remaining[e]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if math.Abs(shares[a]-shares[b]) < 1e-9 {
			return 0
		}
		return cmp.Compare(shares[b], shares[a])
	})
	for _, e := range order {
		if total > 0 && a.remaining[e] < len(a.subsets) {
			a.remaining[e]++
			total--
		}
	}
}

// locationFor returns the location from which a controller takes its next engine. The engines of a subset lie at equal steps
// along the sequence of all engines, from a start that differs by controller. The starts are spread by the golden ratio, so they
// are even for any number of controllers.
func (a *assignment) locationFor(controller, round, size int) int {
	_, start := math.Modf(float64(controller) * math.Phi)
	position := (float64(round) + start) / float64(size) * float64(len(a.engines))
	for location, weight := range a.locationWeights {
		if position -= weight; position < 0 {
			return location
		}
	}
	return len(a.locations) - 1
}

// assignNext assigns a controller the engine that it ranks highest among those of the location that are still available to it. If
// there is none, it takes one of another location. If the controller already has all available engines, another controller swaps
// one of its engines for an available one and gives the first to this controller.
func (a *assignment) assignNext(controller, location int) {
	best := a.bestAvailable(controller, location)
	for other := 0; best < 0 && other < len(a.locations); other++ {
		best = a.bestAvailable(controller, other)
	}
	if best >= 0 {
		a.give(controller, best)
		return
	}
	for free := range a.engines {
		if a.remaining[free] == 0 {
			continue
		}
		for donor, subset := range a.subsets {
			if donor == controller || a.members[donor].has(free) {
				continue
			}
			for index, e := range subset {
				if !a.members[controller].has(e) {
					subset[index] = free
					a.members[donor].remove(e)
					a.members[donor].add(free)
					a.remaining[free]--
					a.subsets[controller] = append(a.subsets[controller], e)
					a.members[controller].add(e)
					return
				}
			}
		}
	}
}

// extraRanked is how many engines of a location a controller's ranked list holds beyond the location's part of a subset; nearly
// always one of them is available. If none is, the whole location is searched. A location with fewer engines than fullRankFactor
// times the length of the list is searched without a list if that length is at most maxSearchedLen, and is ranked completely
// otherwise.
const extraRanked, fullRankFactor, maxSearchedLen = 4, 8, 12

// bestAvailable returns the engine of a location that a controller ranks highest among those available to it, or -1. Ranks are
// hashes of the pair of controller and engine (rendezvous hashing), so that a change of the list does not affect the ranks of
// other engines.
func (a *assignment) bestAvailable(controller, location int) int {
	if a.rankedLen <= maxSearchedLen && len(a.locations[location]) < fullRankFactor*a.rankedLen {
		return a.searchBest(controller, a.locations[location])
	}
	if a.ranked[controller] == nil {
		a.ranked[controller] = a.rankLocations(controller)
	}
	ranked := a.ranked[controller][location]
	for n, e := range ranked {
		if a.remaining[e] > 0 && !a.members[controller].has(e) {
			a.ranked[controller][location] = ranked[n:] // the skipped engines stay unavailable to this controller while any engine is available
			return e
		}
	}
	a.ranked[controller][location] = nil
	if a.ranksAll(location) {
		return -1
	}
	return a.searchBest(controller, a.locations[location])
}

// rankLocations returns, for each location, the engines that a controller ranks highest, in descending order.
func (a *assignment) rankLocations(controller int) [][]int {
	salt := mix(uint64(controller))
	all := make([][]int, len(a.locations))
	ranks := make([]uint64, 0, a.rankedLen+1)
	for location, engines := range a.locations {
		if a.ranksAll(location) {
			all[location] = a.sortByRank(salt, engines)
			continue
		}
		best := make([]int, min(a.rankedLen, len(engines)))
		ranks = slices.Grow(ranks[:0], len(best))[:len(best)]
		clear(ranks)
		for _, e := range engines {
			rank := a.rank(salt, e)
			if rank <= ranks[len(ranks)-1] {
				continue
			}
			position := len(ranks) - 1
			for ; position > 0 && rank > ranks[position-1]; position-- {
				best[position], ranks[position] = best[position-1], ranks[position-1]
			}
			best[position], ranks[position] = e, rank
		}
		all[location] = best
	}
	return all
}

// ranksAll reports whether the ranked list of a location holds all its engines, as a large part of them is needed anyway.
func (a *assignment) ranksAll(location int) bool {
	return len(a.locations[location]) < fullRankFactor*a.rankedLen
}

// sortByRank returns the engines in descending order of a controller's ranks.
func (a *assignment) sortByRank(salt uint64, engines []int) []int {
	type ranked struct {
		rank   uint64
		engine int
	}
	all := make([]ranked, len(engines))
	for n, engine := range engines {
		all[n] = ranked{a.rank(salt, engine), engine}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.rank, a.rank), a.engine-b.engine) })
	ordered := make([]int, len(all))
	for n := range all {
		ordered[n] = all[n].engine
	}
	return ordered
}

// searchBest returns the available engine that a controller ranks highest by searching all given engines, or -1.
func (a *assignment) searchBest(controller int, engines []int) int {
	best, highest, salt := -1, uint64(0), mix(uint64(controller))
	for _, e := range engines {
		if a.remaining[e] == 0 || a.members[controller].has(e) {
			continue
		}
		if rank := a.rank(salt, e); best < 0 || rank > highest {
			best, highest = e, rank
		}
	}
	return best
}

// rank returns the rank of an engine for a controller; salt is the hash of the controller's number.
func (a *assignment) rank(salt uint64, e int) uint64 { return mix(a.keys[e] ^ salt) }

// give assigns an engine to a controller.
func (a *assignment) give(controller, e int) {
	a.subsets[controller] = append(a.subsets[controller], e)
	a.members[controller].add(e)
	a.remaining[e]--
}
