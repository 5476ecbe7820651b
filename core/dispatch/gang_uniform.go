package dispatch

// placeUniform chooses a worker for every member of a uniform gang. Each member takes the best
// place, from a heap of the places by preference. It uses up the capacities of the places, so a
// search calls it only once. That suffices, since the capacities of a rack tell exactly whether
// the gang fits there.
func (s *gangSearch) placeUniform(rack string) bool {
	s.byPreference = s.byPreference[:0]
	for n := range s.places {
		if place := &s.places[n]; place.capacity > 0 && (rack == "" || place.worker.Rack == rack) {
			s.byPreference = append(s.byPreference, n)
		}
	}
	for i := len(s.byPreference)/2 - 1; i >= 0; i-- {
		s.siftDown(i)
	}
	for range s.members {
		if len(s.byPreference) == 0 {
			return false
		}
		place := &s.places[s.byPreference[0]]
		s.chosen = append(s.chosen, place.worker.ID())
		place.free = place.free.Sub(s.smallest)
		if place.capacity--; place.capacity == 0 {
			last := len(s.byPreference) - 1
			s.byPreference[0] = s.byPreference[last]
			s.byPreference = s.byPreference[:last]
		}
		s.siftDown(0)
	}
	return true
}

// siftDown restores the heap below an index.
func (s *gangSearch) siftDown(i int) {
	heap := s.byPreference
	for {
		best := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(heap); child++ {
			if s.isBefore(heap[child], heap[best]) {
				best = child
			}
		}
		if best == i {
			return
		}
		heap[i], heap[best] = heap[best], heap[i]
		i = best
	}
}

// isBefore reports whether place n is better than place m; among equals the first by name is.
func (s *gangSearch) isBefore(n, m int) bool {
	if n > m {
		return s.places[n].precedes(&s.places[m])
	}
	return !s.places[m].precedes(&s.places[n])
}
