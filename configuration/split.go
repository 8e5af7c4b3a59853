package configuration

// Splitter distributes the requests of one route over its parts in proportion to their weights. It uses smooth weighted
// round-robin: each request goes to the part that is furthest behind its share, so the proportions are met even over a few
// requests. It is not safe for concurrent use.
type Splitter struct {
	credit []float64
}

// Next returns the index of the part for the next request. Parts with weight 0 receive no requests.
func (s *Splitter) Next(parts []WeightedUpstream) int {
	if len(parts) == 1 {
		return 0
	}

	if len(s.credit) != len(parts) {
		s.credit = make([]float64, len(parts))
	}

	var sum float64
	for i := range parts {
		sum += parts[i].Weight
	}

	best := -1

	for i := range parts {
		if parts[i].Weight <= 0 {
			continue
		}

		s.credit[i] += parts[i].Weight / sum
		if best < 0 || s.credit[i] > s.credit[best] {
			best = i
		}
	}

	s.credit[best]--

	return best
}
