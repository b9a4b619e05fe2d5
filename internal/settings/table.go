package settings

import "time"

// required in place of a default: without the setting the program can't run.
const required = "(required)"

// Setting describes one key of the file.
type Setting struct {
	Key, Kind, Default, Bounds, Help string

	set func(*Settings, string) error
}

// List gives every setting that is known, in the order of the file.
func List() []Setting { return append([]Setting(nil), table...) }

// table declares each setting once. The defaults are those of an ordinary
// deployment, so that a figure which is missing doesn't end the program; the
// bounds only keep out what can't be meant.
var table = []Setting{
	text("node-name", "", "name of this machine", func(s *Settings) *string { return &s.Node }),
	text("role", "", "role that this process runs", func(s *Settings) *string { return &s.Role }),
	text("machine-class", "", "class of this machine, front or core", func(s *Settings) *string { return &s.Class }),
	ip("ip", "address of this machine", func(s *Settings) *string { return &s.IP }),
	text("zone", "", "zone of this machine", func(s *Settings) *string { return &s.Zone }),
	text("region", "", "region of this machine; that of its zone if absent", func(s *Settings) *string { return &s.Region }),
	{Key: "zones.*", Kind: "text", Help: "region of each zone, whose name is in the key"},
	address("bind-addrs.front", "where clients are served", func(s *Settings) *string { return &s.Front }),
	address("bind-addrs.readiness", "where the platform asks for readiness", func(s *Settings) *string { return &s.Readiness }),
	address("bind-addrs.control", "where searchers and the operator are served", func(s *Settings) *string { return &s.Control }),
	ports("internal-ports", "first and last port for use between mixers", func(s *Settings) (*int, *int) { return &s.PortFirst, &s.PortLast }),
	addresses("seeds", "control addresses of some machines, which may be down", func(s *Settings) *[]string { return &s.Seeds }),
	flag("cold-start", "the system's very first start, with empty disks", func(s *Settings) *bool { return &s.ColdStart }),
	flag("counts-loss", "this machine is one of those that tolerance counts", func(s *Settings) *bool { return &s.CountsLoss }),

	number("limits.cpu-share", "1", 0.001, 4096, "processor, as a share of a core", func(s *Settings) *float64 { return &s.CPUShare }),
	count("limits.cores", "1", 1, 4096, "how many times as fast that core is", func(s *Settings) *int { return &s.Cores }),
	count("limits.memory-mb", "256", 1, 1<<24, "memory of this process", func(s *Settings) *int { return &s.MemoryMB }),
	count("limits.file-limit", "4096", 1, 1<<30, "descriptors of this process", func(s *Settings) *int { return &s.FileLimit }),
	number("limits.bandwidth-mbps", "1000", 0, 1e9, "this machine's link", func(s *Settings) *float64 { return &s.BandwidthMbps }),
	count("limits.disk-mb", "0", 0, 1<<30, "this machine's disk; 0 for none", func(s *Settings) *int { return &s.DiskMB }),
	text("data-dir", "", "folder on that disk", func(s *Settings) *string { return &s.DataDir }),

	millis("beat-period-ms", "1200", 1, "how often a searcher reports", func(s *Settings) *time.Duration { return &s.BeatPeriod }),
	words("invariants", "base,drain,config,cost,retry,recover,scatter", "parts of the rules in force", func(s *Settings) *[]string { return &s.Invariants }),
	count("tolerance.machine-losses", "1", 0, 1<<20, "counted machines that may be lost at a time", func(s *Settings) *int { return &s.MachineLosses }),
	count("tolerance.zones", "0", 0, 1<<20, "zones that may be lost at a time", func(s *Settings) *int { return &s.ZoneLosses }),
	count("tolerance.region-losses", "0", 0, 1<<20, "regions that may be lost at a time", func(s *Settings) *int { return &s.RegionLosses }),

	seconds("bounds.seed-delay-s", "3", 0, "how far lists of mixers lag", func(s *Settings) *time.Duration { return &s.SeedDelay }),
	seconds("bounds.reuse-delay-s", "2", 0, "before a searcher's address goes to another", func(s *Settings) *time.Duration { return &s.ReuseDelay }),
	millis("bounds.contact-ms", "5000", 0, "for how long a machine must be calm to be in touch", func(s *Settings) *time.Duration { return &s.Contact }),
	millis("bounds.ack-ms", "6000", 0, "to acknowledge a configuration", func(s *Settings) *time.Duration { return &s.Ack }),
	seconds("bounds.sync-s", "4", 0, "for which a machine that is back still counts as lost", func(s *Settings) *time.Duration { return &s.Sync }),
	millis("bounds.drain-ms", "4000", 0, "for which a leaving searcher still serves", func(s *Settings) *time.Duration { return &s.Drain }),
	seconds("bounds.grace-s", "6", 0, "from SIGTERM to SIGKILL", func(s *Settings) *time.Duration { return &s.Grace }),
	millis("bounds.loss-slack-ms", "200", 0, "from a request's last byte until it counts as taken", func(s *Settings) *time.Duration { return &s.LossSlack }),
	millis("bounds.apply-ms", "4000", 0, "from a version's acknowledgement until it holds everywhere", func(s *Settings) *time.Duration { return &s.Apply }),
	millis("bounds.revert-slack-ms", "250", 0, "from a version's first effect until older ones may no longer show", func(s *Settings) *time.Duration { return &s.RevertSlack }),
	millis("bounds.max-stretch-ms", "15000", 0, "most that an unsettled core adds to apply-ms", func(s *Settings) *time.Duration { return &s.MaxStretch }),
	number("bounds.retry-ratio", "0.2", 0, 1e6, "sends past the first that a service may get for each request", func(s *Settings) *float64 { return &s.RetryRatio }),
	seconds("bounds.retry-window-s", "10", 0.001, "window in which such sends are counted", func(s *Settings) *time.Duration { return &s.RetryWindow }),
	number("bounds.retry-slack", "58", 0, 1e9, "such sends that it may get in each window besides", func(s *Settings) *float64 { return &s.RetrySlack }),
	seconds("bounds.settling-s", "12", 0, "after machines are back, until requests are served again", func(s *Settings) *time.Duration { return &s.Settling }),
	address("lab-relay", "relay that a test puts between the processes of the system", func(s *Settings) *string { return &s.Relay }),
	text("config_mode", "highest", "which configuration holds", func(s *Settings) *string { return &s.ConfigMode }),
}
