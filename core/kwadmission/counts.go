package kwadmission

import "time"

// bucketCount is the number of parts of the counting window; an event counts for 0.9 to 1 of the window.
const bucketCount = 10

// classCounts counts what became of the requests of one class over a sliding window.
type classCounts struct {
	buckets [bucketCount]struct{ arrivals, granted, rejected int }
	// last is the number of the bucket that is being filled.
	last    int64
	waiting int
}

// advance empties the buckets that have left the window.
func (c *classCounts) advance(now time.Time, window time.Duration) int64 {
	number := now.UnixNano() / int64(window/bucketCount)
	for n := max(c.last+1, number-bucketCount+1); n <= number; n++ {
		c.buckets[n%bucketCount] = struct{ arrivals, granted, rejected int }{}
	}
	c.last = max(c.last, number)
	return c.last % bucketCount
}

func (c *classCounts) row(now time.Time, window time.Duration) Row {
	c.advance(now, window)
	r := Row{Waiting: c.waiting}
	for _, b := range c.buckets {
		r.Arrivals += b.arrivals
		r.Granted += b.granted
		r.Rejected += b.rejected
	}
	return r
}
