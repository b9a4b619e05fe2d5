package settings

import "time"

// required stands in place of a default for settings that the program can't run without.
const required = "(required)"

// Setting describes one key of the file.
type Setting struct {
	Key, Kind, Default, Bounds, Help string

	set func(*Settings, string) error
}

// List returns all known settings, in the order of the file.
func List() []Setting { return append([]Setting(nil), table...) }

// table declares each setting once. The defaults are those of an ordinary
// deployment, so that a missing number doesn't end the program; the bounds
// reject only values that can't be intended.
var table = []Setting{
	text("node-name", "", "name of this machine", func(s *Settings) *string { return &s.Node }),
	text("role", "", "role that this process runs", func(s *Settings) *string { return &s.Role }),
	text("machine-class", "", "class of this machine, front or core", func(s *Settings) *string { return &s.Class }),
	ip("ip", "address of this machine", func(s *Settings) *string { return &s.IP }),
	text("zone", "", "zone of this machine", func(s *Settings) *string { return &s.Zone }),
	text("region", "", "region of this machine; that of its zone if absent", func(s *Settings) *string { return &s.Region }),
	{Key: "zones.*", Kind: "text", Help: "region of each zone, whose name is in the key"},
	address("bind-addrs.front", "address for clients", func(s *Settings) *string { return &s.Front }),
	address("bind-addrs.readiness", "address for the platform's readiness checks", func(s *Settings) *string { return &s.Readiness }),
	address("bind-addrs.control", "address for searchers and the operator", func(s *Settings) *string { return &s.Control }),
	ports("internal-ports", "first and last port for use between mixers", func(s *Settings) (*int, *int) { return &s.PortFirst, &s.PortLast }),
	addresses("seeds", "control addresses of some machines, which may be down", func(s *Settings) *[]string { return &s.Seeds }),
	flag("cold-start", "the system's very first start, with empty disks", func(s *Settings) *bool { return &s.ColdStart }),
	flag("counts-loss", "this machine is one of those that tolerance counts", func(s *Settings) *bool { return &s.CountsLoss }),

	number("limits.cpu-share", "1", 0.001, 4096, "processor, as a share of a core", func(s *Settings) *float64 { return &s.CPUShare }),
	count("limits.cores", "1", 1, 4096, "speed factor of that core", func(s *Settings) *int { return &s.Cores }),
	count("limits.memory-mb", "256", 1, 1<<24, "memory of this process", func(s *Settings) *int { return &s.MemoryMB }),
	count("limits.file-limit", "4096", 1, 1<<30, "descriptors of this process", func(s *Settings) *int { return &s.FileLimit }),
	number("limits.bandwidth-mbps", "1000", 0, 1e9, "bandwidth of this machine's network link", func(s *Settings) *float64 { return &s.BandwidthMbps }),
	count("limits.disk-mb", "0", 0, 1<<30, "this machine's disk; 0 for none", func(s *Settings) *int { return &s.DiskMB }),
	text("data-dir", "", "folder on that disk", func(s *Settings) *string { return &s.DataDir }),

	millis("beat-period-ms", "1200", 1, "how often a searcher reports", func(s *Settings) *time.Duration { return &s.BeatPeriod }),
	words("invariants", "base,drain,config,cost,retry,recover,scatter", "parts of the rules in force", func(s *Settings) *[]string { return &s.Invariants }),
	count("tolerance.machine-losses", "1", 0, 1<<20, "counted machines that may be lost at a time", func(s *Settings) *int { return &s.MachineLosses }),
	count("tolerance.zones", "0", 0, 1<<20, "zones that may be lost at a time", func(s *Settings) *int { return &s.ZoneLosses }),
	count("tolerance.region-losses", "0", 0, 1<<20, "regions that may be lost at a time", func(s *Settings) *int { return &s.RegionLosses }),

	seconds("bounds.seed-delay-s", "3", 0, "how far lists of mixers lag behind", func(s *Settings) *time.Duration { return &s.SeedDelay }),
	seconds("bounds.reuse-delay-s", "2", 0, "time before a searcher's address is reused by another", func(s *Settings) *time.Duration { return &s.ReuseDelay }),
	millis("bounds.contact-ms", "5000", 0, "how long a machine must be undisturbed to count as in contact", func(s *Settings) *time.Duration { return &s.Contact }),
	millis("bounds.ack-ms", "6000", 0, "time limit for acknowledging a configuration", func(s *Settings) *time.Duration { return &s.Ack }),
	seconds("bounds.sync-s", "4", 0, "how long a machine that is back still counts as lost", func(s *Settings) *time.Duration { return &s.Sync }),
	millis("bounds.drain-ms", "4000", 0, "how long a leaving searcher still serves", func(s *Settings) *time.Duration { return &s.Drain }),
	seconds("bounds.grace-s", "6", 0, "time from SIGTERM to SIGKILL", func(s *Settings) *time.Duration { return &s.Grace }),
	millis("bounds.loss-slack-ms", "200", 0, "time from a request's last byte until it counts as accepted", func(s *Settings) *time.Duration { return &s.LossSlack }),
	millis("bounds.apply-ms", "4000", 0, "time from a version's acknowledgement until it is in force everywhere", func(s *Settings) *time.Duration { return &s.Apply }),
	millis("bounds.revert-slack-ms", "250", 0, "time from a version's first effect until older ones must have no effect", func(s *Settings) *time.Duration { return &s.RevertSlack }),
	millis("bounds.max-stretch-ms", "15000", 0, "maximum that an unsettled controller group adds to apply-ms", func(s *Settings) *time.Duration { return &s.MaxStretch }),
	number("bounds.retry-ratio", "0.2", 0, 1e6, "attempts after the first that a service may get per request", func(s *Settings) *float64 { return &s.RetryRatio }),
	seconds("bounds.retry-window-s", "10", 0.001, "window in which such attempts are counted", func(s *Settings) *time.Duration { return &s.RetryWindow }),
	number("bounds.retry-slack", "58", 0, 1e9, "further such attempts allowed in each window", func(s *Settings) *float64 { return &s.RetrySlack }),
	seconds("bounds.settling-s", "12", 0, "time from the return of machines until requests are served again", func(s *Settings) *time.Duration { return &s.Settling }),
	address("lab-relay", "relay that a test puts between the processes of the system", func(s *Settings) *string { return &s.Relay }),
	text("config_mode", "highest", "which configuration is in force", func(s *Settings) *string { return &s.ConfigMode }),
}
