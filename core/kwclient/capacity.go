package kwclient

const (
	// DefaultDescriptors are the descriptors of a process that does not know its own: those of a small VM.
	DefaultDescriptors = 4100
	// reservedDescriptors are set aside by the platform for files outside the data folder; sockets and data files share the rest.
	reservedDescriptors = 200
	// ReceiveBufferBytes bounds what arrives on a connection and is not read: on the platform it is part of the memory of the process.
	ReceiveBufferBytes = 16 << 10
	// connectionBytes is what an open connection costs: its receive buffer, the stack of its goroutine and its buffers.
	connectionBytes = ReceiveBufferBytes + 20<<10
	// connectionMemoryParts is the part of the memory that connections may take, headMemoryParts that for heads.
	connectionMemoryParts = 4
	headMemoryParts       = 16
	// pageHeadMemoryParts is the part for heads of a listener for metrics, which has a memory of its own.
	pageHeadMemoryParts = 64
	// trafficShare is the share of the descriptors for the connections of the listener that carries most, pageShare that for each listener
	// of readiness checks or metrics. What is left is for servers, control, the log's members and files.
	trafficShare = 0.45
	pageShare    = 0.025
	// peerShare is the share of the descriptors of a control process for the connections of the system's other processes.
	peerShare = 0.25
	// peerMemoryParts is the part of the memory for their calls: a declaration, or a snapshot with one, in each of a few.
	peerMemoryParts = 4
	// minConnections keeps a listener reachable whatever the settings say.
	minConnections = 8
)

// Capacity is what a process has; 0 means unknown.
type Capacity struct {
	MemoryBytes int64
	Descriptors int
}

// MaxTrafficConnections returns how many connections the listener that carries most may have.
func (c Capacity) MaxTrafficConnections() int { return c.connections(trafficShare) }

// MaxPageConnections returns how many connections a listener for readiness checks or metrics may have.
func (c Capacity) MaxPageConnections() int { return c.connections(pageShare) }

func (c Capacity) connections(share float64) int {
	descriptors := c.Descriptors
	if descriptors <= 0 {
		descriptors = DefaultDescriptors
	}
	n := int(share * float64(descriptors-reservedDescriptors))
	if c.MemoryBytes > 0 {
		n = min(n, int(c.MemoryBytes/connectionMemoryParts/connectionBytes))
	}
	return max(n, minConnections)
}

// HeadBytes returns the memory for heads; 0 means unknown.
func (c Capacity) HeadBytes() int64 { return c.MemoryBytes / headMemoryParts }

// PageHeadBytes returns the memory for heads of a listener for metrics; 0 means unknown.
func (c Capacity) PageHeadBytes() int64 { return c.MemoryBytes / pageHeadMemoryParts }

// MaxPeerConnections returns how many connections the system's other processes may have to a control process.
func (c Capacity) MaxPeerConnections() int { return c.connections(peerShare) }

// PeerBytes returns the memory for their calls; 0 means unknown.
func (c Capacity) PeerBytes() int64 { return c.MemoryBytes / peerMemoryParts }
