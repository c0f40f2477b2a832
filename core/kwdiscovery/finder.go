package kwdiscovery

import (
	"slices"
	"time"
)

const (
	// maxCooldown bounds how long an unreachable address is skipped, even if another process names it as the leader: members keep naming a
	// dead leader until they have elected the next.
	maxCooldown = 1500 * time.Millisecond
	// cooldownFactor is the cooldown of an unreachable address as a multiple of the time that the failed call took, so that at most a third
	// of the time is lost to that address. A refused connection takes no time and causes no cooldown, so that a process that has just
	// started is found at once.
	cooldownFactor = 2
	// maxHintsInARow bounds how many hints are followed before the next known address is tried. A hint leads from a process that is no
	// member to a former leader and from there to the present one; processes that know nothing new name each other.
	maxHintsInARow = 3
)

// Failure is a call to an address that did not reach the leader.
type Failure struct {
	Address string
	// Elapsed is how long the call took.
	Elapsed time.Duration
	// Unreachable means that nobody answered; otherwise Suggested is where the one that answered says to ask, if it is not "".
	Unreachable bool
	Suggested   string
}

// Finder decides which address a call to the leader tries next: the last leader, those that others name, the members, and the seeds, which
// are never forgotten, since all members that a process knows may have been replaced while it was cut off.
type Finder struct {
	seeds, members []string
	// addresses are the members, then the seeds that are none.
	addresses []string
	hint      string
	// hints counts the hints of others since the last address from the list.
	hints     int
	nextIndex int
	// cooldownUntil holds the end of the cooldown of each unreachable address.
	cooldownUntil map[string]time.Time
}

// NewFinder returns a finder that knows some seeds.
func NewFinder(seeds []string) *Finder {
	f := &Finder{cooldownUntil: make(map[string]time.Time)}
	f.SetSeeds(seeds)
	return f
}

// SetSeeds replaces the seeds; an empty list changes nothing.
func (f *Finder) SetSeeds(seeds []string) {
	if len(seeds) > 0 {
		f.seeds = seeds
		f.list()
	}
}

// SetMembers replaces the known members of the log; an empty list changes nothing.
func (f *Finder) SetMembers(members []string) {
	if len(members) > 0 {
		f.members = members
		f.list()
	}
}

func (f *Finder) list() {
	f.addresses = nil
	for _, a := range slices.Concat(f.members, f.seeds) {
		if !slices.Contains(f.addresses, a) {
			f.addresses = append(f.addresses, a)
		}
	}
}

// SetHint sets the address to try first: the leader, as far as the caller knows.
func (f *Finder) SetHint(address string) { f.hint, f.hints = address, 0 }

// Next returns the address to try next, or "" if there is none; roundDone reports that every known address has been tried once more.
func (f *Finder) Next(now time.Time) (address string, roundDone bool) {
	if f.hint != "" {
		return f.hint, false
	}
	f.hints = 0
	if len(f.addresses) == 0 {
		return "", true
	}
	for range f.addresses {
		address = f.addresses[f.nextIndex%len(f.addresses)]
		f.nextIndex++
		roundDone = roundDone || f.nextIndex%len(f.addresses) == 0
		if now.After(f.cooldownUntil[address]) {
			break
		}
	}
	return address, roundDone
}

// Failed records that a call did not reach the leader: an unreachable address enters its cooldown, and a suggested one becomes the hint
// unless it is in its own.
func (f *Finder) Failed(now time.Time, c Failure) {
	if f.hint == c.Address {
		f.hint = ""
	}
	if c.Unreachable {
		f.endCooldowns(now)
		f.cooldownUntil[c.Address] = now.Add(min(cooldownFactor*c.Elapsed, maxCooldown))
		return
	}
	if c.Suggested != "" && c.Suggested != c.Address && f.hints < maxHintsInARow && now.After(f.cooldownUntil[c.Suggested]) {
		f.hint = c.Suggested
		f.hints++
	}
}

// endCooldowns forgets the cooldowns that are over, also those of addresses that are no longer known.
func (f *Finder) endCooldowns(now time.Time) {
	for address, until := range f.cooldownUntil {
		if now.After(until) {
			delete(f.cooldownUntil, address)
		}
	}
}
