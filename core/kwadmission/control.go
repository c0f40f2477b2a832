package kwadmission

import (
	"cmp"
	"slices"
)

// control sets the shares of the classes of one service from their counts. It answers an overload in which more urgent requests are rejected
// at some entries while others grant less urgent ones.
type control struct {
	cfg Config
	// shares are in order of urgency.
	shares []ClassShare
}

// step moves one share by the counts of the classes, in order of urgency. The least urgent class that is rejected too seldom gets less, or
// else the most urgent one that is rejected too often gets more. The caller leaves time between two steps for the counts to show the effect
// of the first.
func (c *control) step(totals []Row) {
	c.adopt(totals)
	for i := range c.shares {
		c.shares[i].Spare = !slices.ContainsFunc(totals[:i], c.short)
	}
	for i := len(totals) - 1; i >= 0; i-- {
		s := &c.shares[i].Share
		if owed := c.owed(totals, i); owed > 0 && *s > c.cfg.Floor {
			*s = max(c.cfg.Floor, *s-min(c.cfg.MaxLower, max(c.cfg.MinLower, c.cfg.Gain*owed)))
			return
		}
	}
	for i := range c.shares {
		if s := &c.shares[i].Share; *s < 1 && c.owed(totals, i) < -c.cfg.Slack {
			*s = min(1, *s+c.cfg.Raise)
			return
		}
	}
}

// adopt takes over the classes of the totals. One that is new starts with the share that entries apply.
func (c *control) adopt(totals []Row) {
	shares := make([]ClassShare, len(totals))
	for i, t := range totals {
		shares[i] = ClassShare{Priority: t.Priority, Share: min(1, max(c.cfg.Floor, 1-t.Withheld))}
		if at, ok := c.find(t.Priority); ok {
			shares[i].Share = c.shares[at].Share
		}
	}
	c.shares = shares
}

func (c *control) find(priority int) (int, bool) {
	return slices.BinarySearchFunc(c.shares, priority, func(s ClassShare, p int) int { return cmp.Compare(s.Priority, p) })
}

// owed returns by how much more of a class would have to be rejected for it to be behind each more urgent class that is short by Lead, -1 if
// none is short.
func (c *control) owed(totals []Row, class int) Share {
	owed := Share(-1)
	for _, t := range totals[:class] {
		if c.short(t) {
			owed = max(owed, rejectedPart(t)+c.cfg.Lead-rejectedPart(totals[class]))
		}
	}
	return owed
}

// short reports whether requests of a class are rejected or wait for long.
func (c *control) short(t Row) bool {
	meanWait := float64(t.Waiting) * c.cfg.Window.Seconds() / float64(max(1, t.Granted))
	return rejectedPart(t) > c.cfg.Short || t.Waiting > 1 && meanWait > c.cfg.LongestWait.Seconds()
}

func rejectedPart(t Row) Share { return Share(t.Rejected) / Share(max(1, t.Arrivals)) }
