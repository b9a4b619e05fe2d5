package simulation

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// versionBodies models which body stands for a version, none at first. The first accepted proposal decides.
var versionBodies = porcupine.Model{
	Partition: func(ops []porcupine.Operation) (parts [][]porcupine.Operation) {
		byVersion := map[uint64]int{}
		for _, x := range ops {
			version := x.Input.(*op).doc.Version
			i, had := byVersion[version]
			if !had {
				i = len(parts)
				byVersion[version] = i
				parts = append(parts, nil)
			}
			parts[i] = append(parts[i], x)
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, in, _ any) (bool, any) {
		digest, o := state.(uint64), in.(*op)
		switch {
		case o.refused:
			return digest != 0 && digest != o.doc.Digest, digest
		case digest == 0:
			return true, o.doc.Digest
		}
		// A call without a clear result may have been refused without any client seeing it.
		return !o.completed || digest == o.doc.Digest, digest
	},
}

// checkProposalHistory checks the proposals against a register that keeps one body per version.
func (w *World) checkProposalHistory() {
	var ops []porcupine.Operation
	for i, o := range w.clients.history {
		if o.read {
			continue
		}
		x := porcupine.Operation{ClientId: i, Input: o, Call: int64(o.from), Return: int64(o.to)}
		if !o.completed {
			x.Return = math.MaxInt64
		}
		ops = append(ops, x)
	}
	switch porcupine.CheckOperationsTimeout(versionBodies, ops, 3*time.Second) {
	case porcupine.Illegal:
		w.fail("the history of %d proposals is not that of a register that keeps one body a version", len(ops))
	case porcupine.Unknown:
		w.fail("the history of %d proposals was not decided in time", len(ops))
	}
}
