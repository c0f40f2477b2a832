package kwchainsearch

// ConnectResult tells how an endpoint met an attempt to connect to it.
type ConnectResult uint8

const (
	// Connected endpoints took the connection.
	Connected ConnectResult = iota
	// Refused means that nothing listens at the address: the endpoint's process has ended.
	Refused
	// Unresponsive endpoints did not answer in time: they are cut off or frozen, or the way to them is.
	Unresponsive
)

// FaultyStages returns the places in a silent chain that hold it up, by how its parts met attempts to connect. It answers the
// loss of a stage: a process that has ended refuses, and a VM that has gone dark stays silent while the others of its
// chain answer. If all are silent, the way of the one who asks is at fault, and nobody is blamed.
func FaultyStages(reach []ConnectResult) []int {
	answered := false
	for _, r := range reach {
		answered = answered || r != Unresponsive
	}
	var out []int
	for i, r := range reach {
		if r == Refused || r == Unresponsive && answered {
			out = append(out, i)
		}
	}
	return out
}
