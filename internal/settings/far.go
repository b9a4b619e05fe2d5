package settings

// Between says how far two zones are from each other: 0 the same, 1 in one region, 2 else or unknown.
func (s *Settings) Between(a, b string) int {
	switch {
	case a == b:
		return 0
	case s.Zones[a] != "" && s.Zones[a] == s.Zones[b]:
		return 1
	}
	return 2
}

// Far says how far a zone is from this machine's.
func (s *Settings) Far(zone string) int { return s.Between(s.Zone, zone) }
