package kwplacement

import "hash/fnv"

// cellServers is how many servers of an availability zone are planned together at most. A plan takes a time that grows with
// more than the cube of it (BenchmarkPlan), while a copy of a model meets ten servers or so.
const cellServers = 36

// cells splits a large pool into cells that are planned each by itself. The number of cells doubles as the pool grows and
// a server's place decides its cell, so that servers that come and go leave the cells of the others alone. Cells that
// cannot hold the whole model are joined with the next.
func (m model) cells(pool []Server) [][]Server {
	n := uint32(1)
	for len(pool) > int(n)*cellServers {
		n *= 2
	}
	if n == 1 {
		return [][]Server{pool}
	}
	split := make([][]Server, n)
	for _, s := range pool {
		i := placeHash(s) % n
		split[i] = append(split[i], s)
	}
	var out [][]Server
	var small []Server
	for _, cell := range split {
		small = append(small, cell...)
		if m.sum(small, m.minRoom()) >= m.layers {
			out = append(out, small)
			small = nil
		}
	}
	if len(small) == 0 {
		return out
	}
	if len(out) == 0 {
		return [][]Server{small}
	}
	out[len(out)-1] = append(out[len(out)-1], small...)
	return out
}

func placeHash(s Server) uint32 {
	h := fnv.New32a()
	// Writes to a hash do not fail.
	_, _ = h.Write([]byte(s.Address))
	return h.Sum32()
}
