package fleet

// HasUsage implements UsageSource.
func (s *Server) HasUsage(window uint64) bool {
	if s.usage == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, requests := range s.usage.table.Totals(int64(window)).Counts {
		if requests > 0 {
			return true
		}
	}
	return false
}
