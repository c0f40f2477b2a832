package kwchainsearch

// ConnectResult is the result of an attempt to connect to an endpoint.
type ConnectResult uint8

const (
	// Connected means that the endpoint accepted the connection.
	Connected ConnectResult = iota
	// Refused means that no process listens at the address: the endpoint has exited.
	Refused
	// Unresponsive means that there was no answer in time: the endpoint is hung, or the network to it is cut.
	Unresponsive
)

// FaultyStages returns the indices of the stages at fault in a chain that sends no events, from the results of connecting to
// each stage. A stage whose process has exited refuses, and one whose VM is lost is unresponsive while others accept
// connections. If all are unresponsive, the network of the caller is at fault and no stage is blamed.
func FaultyStages(results []ConnectResult) []int {
	answered := false
	for _, r := range results {
		answered = answered || r != Unresponsive
	}
	var faulty []int
	for i, r := range results {
		if r == Refused || r == Unresponsive && answered {
			faulty = append(faulty, i)
		}
	}
	return faulty
}
