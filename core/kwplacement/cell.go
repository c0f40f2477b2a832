package kwplacement

import "hash/fnv"

// maxCellServers is the largest number of servers of an availability zone that are planned together. The time of a plan grows
// with more than the cube of it (BenchmarkPlan), while a copy of a model takes about ten servers.
const maxCellServers = 36

// cells splits a large pool into cells that are planned independently. The number of cells doubles as the pool grows, and the
// address of a server decides its cell, so that servers that join or leave do not change the cells of the others. A cell that
// cannot hold the whole model is joined with the next.
func (m model) cells(pool []Server) [][]Server {
	n := uint32(1)
	for len(pool) > int(n)*maxCellServers {
		n *= 2
	}
	if n == 1 {
		return [][]Server{pool}
	}
	byHash := make([][]Server, n)
	for _, s := range pool {
		i := addressHash(s) % n
		byHash[i] = append(byHash[i], s)
	}
	var cells [][]Server
	var incomplete []Server
	for _, cell := range byHash {
		incomplete = append(incomplete, cell...)
		if m.totalLayers(incomplete, m.minKVTokens()) >= m.layers {
			cells = append(cells, incomplete)
			incomplete = nil
		}
	}
	if len(incomplete) == 0 {
		return cells
	}
	if len(cells) == 0 {
		return [][]Server{incomplete}
	}
	cells[len(cells)-1] = append(cells[len(cells)-1], incomplete...)
	return cells
}

// addressHash returns the hash that assigns a server to a cell.
func addressHash(s Server) uint32 {
	h := fnv.New32a()
	// A hash.Hash never returns an error from Write.
	_, _ = h.Write([]byte(s.Address))
	return h.Sum32()
}
