package settings

// ZoneDistance returns the distance of two zones: 0 for the same zone, 1 for zones of one region, 2 otherwise or if unknown.
func (s *Settings) ZoneDistance(a, b string) int {
	switch {
	case a == b:
		return 0
	case s.Zones[a] != "" && s.Zones[a] == s.Zones[b]:
		return 1
	}
	return 2
}

// DistanceTo returns the distance of a zone from this machine's zone.
func (s *Settings) DistanceTo(zone string) int { return s.ZoneDistance(s.Zone, zone) }
