package kwchainsearch

// Reach tells how an endpoint met an attempt to connect to it.
type Reach uint8

const (
	// Open endpoints took the connection.
	Open Reach = iota
	// Refused means that nothing listens at the address: the endpoint's process has ended.
	Refused
	// Silent endpoints did not answer in time: they are cut off or frozen, or the way to them is.
	Silent
)

// Faults returns the places in a silent chain that hold it up, by how its parts met attempts to connect. It answers the
// loss of a stage: a process that has ended refuses, and a VM that has gone dark stays silent while the others of its
// chain answer. If all are silent, the way of the one who asks is at fault, and nobody is blamed.
func Faults(reach []Reach) []int {
	answered := false
	for _, r := range reach {
		answered = answered || r != Silent
	}
	var out []int
	for i, r := range reach {
		if r == Refused || r == Silent && answered {
			out = append(out, i)
		}
	}
	return out
}
