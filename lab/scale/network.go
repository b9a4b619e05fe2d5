package scale

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
)

// Port offsets from the base port. Each machine has its own loopback address and all use the same ports, as on real machines.
// Offsets 0 to 3 lie in the range of the internal-ports setting; controllers and proxies define their order.
const (
	portConsensus    = 0 // "mail" in reports
	portDistribution = 1 // "news" in reports
	portAgent        = 2 // the agent's, for its proxy
	portCalls        = 3
	portControl      = 8
	portFront        = 9
	portReady        = 10
	portsPerMachine  = 16
)

// loopbackNet is the network of a run: 127.network.1.0/24, so that concurrent runs don't share addresses.
type loopbackNet struct {
	network, basePort int
}

func (n loopbackNet) ip(machine int) string { return fmt.Sprintf("127.%d.1.%d", n.network, 1+machine) }

func (n loopbackNet) addr(machine, port int) string {
	return net.JoinHostPort(n.ip(machine), fmt.Sprint(n.basePort+port))
}

// findFreeNet finds a network with no port in use. Ports lie below the kernel's ephemeral range.
func findFreeNet(machines int) (loopbackNet, error) {
	for range 50 {
		candidate := loopbackNet{64 + rand.IntN(128), 12000 + portsPerMachine*rand.IntN(1000)}
		if candidate.free(machines) {
			return candidate, nil
		}
	}
	return loopbackNet{}, errors.New("no free ports on loopback")
}

// free reports whether all ports of the network can be bound.
func (n loopbackNet) free(machines int) bool {
	addrs := []string{net.JoinHostPort("127.0.0.1", fmt.Sprint(n.basePort+portAgent))}
	for machine := range machines {
		for port := range portsPerMachine {
			addrs = append(addrs, n.addr(machine, port))
		}
	}
	for _, addr := range addrs {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

// Memory limits at the design size: the control work of a mixer's processes, and a small controller machine.
const (
	frontMemoryMB      = 64
	controllerMemoryMB = 256
)

// writeSettings writes the settings file of a machine and returns its path.
func (r *run) writeSettings(name, class string, machine int, zone string, extra ...string) (string, error) {
	memoryMB := controllerMemoryMB
	if class == "front" {
		memoryMB = frontMemoryMB
	}
	lines := []string{"node-name=" + name, "machine-class=" + class, "ip=" + r.net.ip(machine), "zone=" + zone,
		fmt.Sprintf("internal-ports=%d,%d", r.net.basePort, r.net.basePort+portControl-1),
		"seeds=" + strings.Join(r.controlAddrs[:min(3, len(r.controlAddrs))], ","), "cold-start=true",
		fmt.Sprintf("beat-period-ms=%d", r.HeartbeatPeriod.Milliseconds()),
		"tolerance.machine-losses=" + fmt.Sprint(min(1, (r.Controllers-1)/2)),
		"bounds.grace-s=1", fmt.Sprintf("limits.memory-mb=%d", memoryMB)}
	for _, z := range zones {
		lines = append(lines, "zones."+z+"="+regionsByZone()[z])
	}
	file := filepath.Join(r.dir, name+".conf")
	if err := os.WriteFile(file, []byte(strings.Join(append(lines, extra...), "\n")+"\n"), 0o600); err != nil {
		return "", errors.Wrapf(err, "settings of %s", name)
	}
	return file, nil
}
