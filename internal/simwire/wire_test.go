package simwire

import (
	"bytes"
	"strings"
	"testing"
)

const settings = "balancers=2 discovery=push domain.bundleMax=1 domain.callCost=0.0 domain.floorByClass=0.6,1.0 " +
	"domain.places=2 domain.ranges=4 domain.secondStep=0,0 domain.shortWorth=0.95,0.9 domain.wholeAt=1.0,1.0 " +
	"domain.width=2 granularity=5.0 limits.attemptsCap=3 limits.maxOpen=112 limits.maxRetryAfter=2000.0 " +
	"limits.retryAfter=true limits.secondCopies=true me=0 parties.count=0 requestClasses.count=2 " +
	"requestClasses.0.deadline=5000.0 requestClasses.0.lateWorth=0.3 requestClasses.0.name=wide " +
	"requestClasses.0.objective=2500.0 requestClasses.0.points=3.0 requestClasses.0.semantics=free " +
	"requestClasses.1.deadline=5000.0 requestClasses.1.lateWorth=0.3 requestClasses.1.name=narrow " +
	"requestClasses.1.objective=2000.0 requestClasses.1.points=1.0 requestClasses.1.semantics=free " +
	"rules.answerSlack=20.0 rules.askEvery=10000.0 rules.cold=18000.0 rules.drainGrace=2000.0 rules.fall=3000.0 " +
	"rules.fallMultiple=2.5 rules.startCapacity=0.21 somethingNew=7"

const start = "ROUND 1000\nPROVISION mixer-3 77 " + settings + "\nDEFINE_LIST 0 2\n" +
	"ITEM ready 1 - 0 10.0.0.1:9 a k\nITEM ready 1 0 1 10.0.0.2:9 a k\nENDPOINTS mixer-3 disk 41 0\nCOMMIT\n"

const scan = "ROUND 1005\nREQUEST mixer-3 900 narrow - - 4000 - 1 -1 1 0 0\n" +
	"REQUEST mixer-3 901 narrow - - 4000 - 1 2 1 0 0\nCOMMIT\n"

// serve returns the reply to the input, the errors reported to the log, and the error of Run.
func serve(input string) (string, string, error) {
	var out, log bytes.Buffer
	err := Run(strings.NewReader(input), &out, &log)
	return out.String(), log.String(), err
}

// TestScanRoundTrip checks the lines of a scan from request to response. The deadline of the dispatch is earlier than that of the
// client: with equal deadlines, queues of overloaded searchers filled with parts that would be late in any case.
func TestScanRoundTrip(t *testing.T) {
	reply, reported, err := serve("ROUND 1000\nCOMMIT\n" + start + scan +
		"ROUND 1105.25\nRETURNED mixer-3 901 0 10.0.0.1:9 pass 100.25 1 -\nABANDONED mixer-3 900\n" +
		"RETURNED mixer-3 555 0 10.0.0.1:9 fault 1 1 -\nTIMEOUT_FIRED mixer-3 4294967297\nCOMMIT\n" +
		"ROUND 1110\nDETACH mixer-3\nPROVISION mixer-3 78 " + settings + "\nCOMMIT\n")
	want := "READY\nAFTER mixer-3 1050 0\nREADY\n" +
		"AFTER mixer-3 2990 1\nAFTER mixer-3 4995 1\nCALL_OUT mixer-3 901 4393.5 10.0.0.1:9\nREADY\n" +
		"SETTLE_QUERY mixer-3 900 1\nREADY\nAFTER mixer-3 1160 0\nREADY\n"
	if err != nil || reported != "" || reply != want {
		t.Errorf("error %v %s, reply\n%s", err, reported, reply)
	}
}

// TestBadLinesAreReportedAndDropped checks that an invalid line doesn't end the process, and with it every hosted instance, as it
// once did.
func TestBadLinesAreReportedAndDropped(t *testing.T) {
	valid, _, _ := serve(start + scan)
	for line, want := range map[string]string{
		"HELLO mixer-3\n":                         "unknown word",
		"ABANDONED mixer-4 4\n":                   "instance not provisioned",
		"ABANDONED mixer-3\n":                     "wrong number",
		"ABANDONED mixer-3 x\n":                   "unreadable",
		"MEMO mixer-3 x aGk=\n":                   "unreadable",
		"MEMO mixer-3 2 a*\n":                     "unreadable",
		"ROUND 1\n":                               "out of place",
		"ENDPOINTS mixer-3 diff 1 7\n":            "list not defined",
		"DEFINE_LIST 3 2\nITEM ready 1 - 0 a b\n": "a list ended early",
		strings.Split(start, "\n")[1][:60] + "\n": "missing",
	} {
		reply, reported, err := serve(start + strings.Replace(scan, "ROUND 1005\n", "ROUND 1005\n"+line, 1))
		if err != nil || reply != valid || !strings.Contains(reported, want) {
			t.Errorf("%.40q: error %v, reported %q, reply\n%s", line, err, reported, reply)
		}
	}
	if _, reported, _ := serve("COMMIT\nROUND x\n" + strings.Replace(start, "domain.width=2", "domain.width=two", 1)); strings.
		Count(reported, "\n") != 5 || !strings.Contains(reported, "setting domain.width: unreadable") {
		t.Error(reported)
	}
	if _, _, err := serve("ROUND 1\n"); err == nil {
		t.Error("input that ends inside a batch is no error")
	}
}

func TestGossipBetweenInstances(t *testing.T) {
	want, _, _ := serve(start + scan)
	reply, reported, err := serve(start + strings.Replace(scan, "ROUND 1005\n",
		"ROUND 1005\nMEMO mixer-3 2 BA==\nMEMO mixer-3 2 -\n", 1))
	if err != nil || reported != "" || reply != want {
		t.Errorf("error %v %s, reply\n%s", err, reported, reply)
	}
	h := &host{}
	(&instance{host: h, name: "mixer-3"}).Gossip([]byte{4})
	if reply := h.out.String(); reply != "BROADCAST_TO mixer-3 all BA==\n" {
		t.Errorf("sent %q", reply)
	}
}

func TestPanicIsReportedAsDie(t *testing.T) {
	h := &host{instances: map[string]*instance{"mixer-3": {name: "mixer-3"}}, inBatch: true}
	if err := h.handle([]byte("TIMEOUT_FIRED mixer-3 0")); err != nil || !strings.HasPrefix(h.out.String(),
		"DIE mixer-3 runtime error") {
		t.Errorf("%v %q", err, h.out.String())
	}
}

func TestListsAreReusedInOrder(t *testing.T) {
	reply, _, err := serve(start + "ROUND 1001\nDEFINE_LIST 0 1\nITEM gone 1 - 0 10.0.0.1:9 a k\n" +
		"ENDPOINTS mixer-3 diff 42 0\nDEFINE_LIST 0 1\nITEM ready 1 - 1 10.0.0.3:9 a k\n" +
		"ENDPOINTS mixer-3 diff 43 0\nCOMMIT\n" + scan)
	if err != nil || !strings.Contains(reply, "CALL_OUT mixer-3 901 4393.5 10.0.0.2:9") {
		t.Errorf("%v\n%s", err, reply)
	}
}
