package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/shoenig/test/must"
)

var testLimits = Options{MaxBodyBytes: 1000, MaxHeaderBytes: 16 << 10}

// parseResponse reads a response to the attempt attemptID. The first bytes of raw, up to the number buffered, are in the
// buffer from the start.
func parseResponse(raw, method, attemptID string, firstUse bool, buffered int) (response Response,
	responseHead head, reusable bool, err error) {
	buffered = min(buffered, len(raw), scratchSize)
	reader := responseReader{conn: iotest.OneByteReader(strings.NewReader(raw[buffered:])), buf: make([]byte, scratchSize)}
	reader.end = copy(reader.buf, raw[:buffered])
	exchange := &Exchange{Request: Request{Method: method, AttemptID: attemptID}}
	responseHead, connEnded, _, err := reader.readResponse(&response, exchange, firstUse, &testLimits)
	return response, responseHead, err == nil && !connEnded && reader.start == reader.end, err
}

const (
	idAndSeal       = "Attempt-Id: a1\r\nAnswer-Seal: s\r\n"
	ok200           = "HTTP/1.1 200 OK\r\n" + idAndSeal
	length3         = "Content-Length: 3\r\n\r\nabc"
	chunkedEncoding = "Transfer-Encoding: chunked\r\n\r\n"
)

func TestAnswers(t *testing.T) {
	long := strings.Repeat("x", 17<<10)
	for name, c := range map[string]struct {
		raw  string
		want string // the body, or part of the error text
	}{
		"length":                   {ok200 + length3, "abc"},
		"same length twice":        {ok200 + "Content-Length: 3\r\n" + length3, "abc"},
		"HTTP/1.0":                 {"HTTP/1.0 200\r\n" + idAndSeal + length3, "abc"},
		"names in any case":        {"HTTP/1.1 200 OK\r\nattempt-id:a1 \r\nANSWER-SEAL:\ts\r\ncontent-length: 3\r\n\r\nabc", "abc"},
		"chunks":                   {ok200 + chunkedEncoding + "1;x=\"y\"\r\na\r\n2\r\nbc\r\n0\r\nT: 1\r\n\r\n", "abc"},
		"interim answers":          {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nLink: y\r\n\r\n" + ok200 + length3, "abc"},
		"identity":                 {ok200 + "Content-Encoding: identity\r\n" + length3, "abc"},
		"204":                      {"HTTP/1.1 204 No\r\n" + idAndSeal + "\r\n", ""},
		"304":                      {"HTTP/1.1 304 No\r\nAttempt-Id: a1\r\nContent-Length: 3\r\n\r\n", ""},
		"500 without seal":         {"HTTP/1.1 500 E\r\nAttempt-Id: a1\r\n" + length3, "abc"},
		"500 until close":          {"HTTP/1.1 500 E\r\nAttempt-Id: a1\r\n\r\nabc", "abc"},
		"too many interim answers": {strings.Repeat("HTTP/1.1 102 P\r\n\r\n", 9) + ok200 + length3, "too many interim"},
		"unrequested switch":       {"HTTP/1.1 101 S\r\n\r\n" + ok200 + length3, "protocol switch"},
		"interim too long":         {strings.Repeat("HTTP/1.1 102 P\r\nX: "+long[:4000]+"\r\n\r\n", 5) + ok200 + length3, "head too long"},
		"two lengths":              {ok200 + "Content-Length: 4\r\n" + length3, "conflicting content lengths"},
		"list of lengths":          {ok200 + "Content-Length: 3, 3\r\n\r\nabc", "conflicting content lengths"},
		"signed length":            {ok200 + "Content-Length: +3\r\n\r\nabc", "conflicting content lengths"},
		"both lengths":             {ok200 + "Content-Length: 3\r\n" + chunkedEncoding + "3\r\nabc\r\n0\r\n\r\n", "both Content-Length and chunked"},
		"chunks in 1.0":            {"HTTP/1.0 200 OK\r\n" + idAndSeal + chunkedEncoding + "0\r\n\r\n", "HTTP/1.0"},
		"other coding":             {ok200 + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "transfer encoding"},
		"success until close":      {ok200 + "\r\nabc", "without length"},
		"success without seal":     {"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n" + length3, "without seal"},
		"success that did not run": {ok200 + "Not-Executed: 1\r\n" + length3, "with Not-Executed"},
		"other id":                 {"HTTP/1.1 200 OK\r\nAttempt-Id: a2\r\nAnswer-Seal: s\r\n" + length3, "another request"},
		"no id":                    {"HTTP/1.1 200 OK\r\nAnswer-Seal: s\r\n" + length3, "without attempt id"},
		"two ids":                  {ok200 + idAndSeal + length3, "duplicate attempt id"},
		"two seals":                {ok200 + "Answer-Seal: z\r\n" + length3, "duplicate seal"},
		"encoded":                  {ok200 + "Content-Encoding: gzip\r\n" + length3, "unrequested content encoding"},
		"body too long":            {ok200 + "Content-Length: 1001\r\n\r\n", "body too long"},
		"chunks too long":          {ok200 + chunkedEncoding + "3e8\r\n" + long[:1000] + "\r\n1\r\nx\r\n0\r\n\r\n", "body too long"},
		"500 too long":             {"HTTP/1.1 500 E\r\nAttempt-Id: a1\r\n\r\n" + long, "body too long"},
		"chunk longer than stated": {ok200 + chunkedEncoding + "2\r\nabc\r\n0\r\n\r\n", "invalid line"},
		"chunk size":               {ok200 + chunkedEncoding + "0x3\r\nabc\r\n0\r\n\r\n", "chunk size"},
		"chunk size of 8 digits":   {ok200 + chunkedEncoding + "00000003\r\nabc\r\n0\r\n\r\n", "chunk size"},
		"bare LF in chunks":        {ok200 + chunkedEncoding + "3\nabc\r\n0\r\n\r\n", "invalid line"},
		"chunk line too long":      {ok200 + chunkedEncoding + "3;" + long[:300] + "\r\nabc\r\n0\r\n\r\n", "invalid line"},
		"bad trailer":              {ok200 + chunkedEncoding + "3\r\nabc\r\n0\r\nT 1\r\n\r\n", "invalid trailer"},
		"trailers too long":        {ok200 + chunkedEncoding + "0\r\n" + strings.Repeat("T: "+long[:1000]+"\r\n", 20) + "\r\n", "trailers too long"},
		"head too long":            {ok200 + "X: " + long + "\r\n" + length3, "head too long"},
		"noise":                    {"\x00\xff", "not an HTTP/1 response"},
		"HTTP/2":                   {"HTTP/2.0 200 OK\r\n" + idAndSeal + length3, "not an HTTP/1 response"},
		"status of two digits":     {"HTTP/1.1 20 OK\r\n" + idAndSeal + length3, "status code is not a number"},
		"status 600":               {"HTTP/1.1 600 OK\r\n" + idAndSeal + length3, "invalid status line"},
		"short line":               {"HTTP/1.1\r\n\r\n", "not a status line"},
		"folded":                   {ok200 + "X: 1\r\n 2\r\n" + length3, "header name"},
		"space before colon":       {ok200 + "X : 1\r\n" + length3, "header name"},
		"bare LF":                  {ok200 + "X: 1\nY: 2\r\n" + length3, "header value"},
		"NUL":                      {ok200 + "X: \x00\r\n" + length3, "header value"},
		"cut in head":              {ok200, "EOF"},
		"cut in body":              {ok200 + "Content-Length: 4\r\n\r\nabc", "EOF"},
		"cut in chunks":            {ok200 + chunkedEncoding + "3\r\nabc\r\n", "EOF"},
		"cut in trailers":          {ok200 + chunkedEncoding + "3\r\nabc\r\n0\r\n", "EOF"},
	} {
		for _, n := range []int{1, 20, scratchSize} {
			response, _, _, err := parseResponse(c.raw, "GET", "a1", false, n)
			if err == nil {
				must.Eq(t, c.want, string(response.Body), must.Sprint(name, n))
				must.Eq(t, Answered, response.Outcome, must.Sprint(name, n))
				continue
			}
			must.StrContains(t, err.Error(), c.want, must.Sprint(name, n))
			must.Eq(t, !strings.HasSuffix(err.Error(), "EOF"), isInvalidResponse(err), must.Sprint(name, n))
			must.Nil(t, response.Body, must.Sprint(name))
		}
	}
}

func isInvalidResponse(err error) bool { _, ok := err.(invalidResponse); return ok }

// TestNotExecuted checks that in doubt a request counts as one that may have run.
func TestNotExecuted(t *testing.T) {
	const id, notExecuted, noBody = "Attempt-Id: a1\r\n", "Not-Executed: 1\r\n", "Content-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		raw      string
		firstUse bool
		want     Outcome // 0: invalid response
	}{
		"503":                {"HTTP/1.1 503 F\r\n" + id + notExecuted + noBody, false, NotExecuted},
		"429":                {"HTTP/1.1 429 F\r\n" + id + notExecuted + noBody, false, NotExecuted},
		"421":                {"HTTP/1.1 421 F\r\n" + id + noBody, false, NotExecuted},
		"503 unsaid":         {"HTTP/1.1 503 F\r\n" + id + noBody, false, Answered},
		"500":                {"HTTP/1.1 500 F\r\n" + id + notExecuted + noBody, false, Answered},
		"504":                {"HTTP/1.1 504 F\r\n" + id + notExecuted + noBody, false, Answered},
		"other id":           {"HTTP/1.1 503 F\r\nAttempt-Id: a2\r\n" + notExecuted + noBody, true, 0},
		"421 other id":       {"HTTP/1.1 421 F\r\nAttempt-Id: a2\r\n" + noBody, true, 0},
		"no id, first":       {"HTTP/1.1 400 F\r\n" + notExecuted + noBody, true, NotExecuted},
		"no id, later":       {"HTTP/1.1 400 F\r\n" + notExecuted + noBody, false, 0},
		"no id, unsaid":      {"HTTP/1.1 503 F\r\n" + noBody, true, 0},
		"no length, no end":  {"HTTP/1.1 503 F\r\n" + id + notExecuted + "\r\nab", false, NotExecuted},
		"encoded, no answer": {"HTTP/1.1 503 F\r\n" + id + notExecuted + "Content-Encoding: br\r\n" + noBody, true, 0},
	} {
		response, _, _, err := parseResponse(c.raw, "GET", "a1", c.firstUse, 30)
		must.Eq(t, c.want, response.Outcome, must.Sprint(name, err))
		must.Eq(t, c.want == 0, isInvalidResponse(err), must.Sprint(name))
	}
	_, _, reusable, _ := parseResponse("HTTP/1.1 503 F\r\n"+id+notExecuted+"\r\nab", "GET", "a1", false, 99)
	must.False(t, reusable) // the response has no defined end, so nothing may follow it
}

func TestResponseFields(t *testing.T) {
	response, responseHead, reusable, err := parseResponse("HTTP/1.1 200 OK\r\n"+idAndSeal+
		"Searcher-Id: i-1\r\nSearcher-Load: 3, 0,8\r\nRetry-After: 0.25\r\n"+
		"Keep-Alive: timeout=4, max=9\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n"+length3+"surplus",
		"GET", "a1", false, 4096)
	must.NoError(t, err)
	must.False(t, reusable)
	must.True(t, responseHead.reusable)
	must.Eq(t, 3*time.Second, responseHead.idleTimeout)
	must.Eq(t, Load{3, 0, 8}, response.Load)
	must.True(t, response.HasLoad)
	must.Eq(t, 250*time.Millisecond, response.RetryAfter)
	must.Eq(t, "i-1", response.SearcherID)
	must.Eq(t, "s", response.Seal)
	must.Eq(t, []Header{{"Attempt-Id", "a1"}, {"Answer-Seal", "s"}, {"Searcher-Id", "i-1"}, {"Searcher-Load", "3, 0,8"},
		{"Retry-After", "0.25"}, {"X-End", "2"}}, response.Headers)
	for s, want := range map[string]time.Duration{"timeout=1": 500 * time.Millisecond, "timeout=0": 0,
		"timeout=60": 45 * time.Second} {
		n, ok := parseKeepAlive(s)
		must.True(t, ok)
		must.Eq(t, want, n)
	}
	for _, s := range []string{"", "max=5", "timeout=x", "timeout=-1"} {
		_, ok := parseKeepAlive(s)
		must.False(t, ok)
	}
	for _, s := range []string{"", "1,2", "1,2,3,4", "1,-2,3", "a,b,c", "1,2,99999999999"} {
		_, ok := parseLoad(s)
		must.False(t, ok, must.Sprint(s))
	}
	for raw, want := range map[string]bool{
		"HTTP/1.0 200 OK\r\n" + idAndSeal + length3:                                                   false,
		"HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\n" + idAndSeal + length3:                         true,
		"HTTP/1.1 200 OK\r\nConnection: Close\r\n" + idAndSeal + length3:                              false,
		"HTTP/1.1 200 OK\r\nConnection: x, close\r\nConnection: keep-alive\r\n" + idAndSeal + length3: false,
	} {
		_, responseHead, _, err := parseResponse(raw, "GET", "a1", false, 9)
		must.NoError(t, err)
		must.Eq(t, want, responseHead.reusable)
	}
	_, _, reusable, err = parseResponse(ok200+length3[:len(length3)-3], "HEAD", "a1", false, 9)
	must.NoError(t, err)
	must.True(t, reusable)
	_, _, _, err = parseResponse("HTTP/1.1 200 OK\r\nSearcher-Id: i\r\n"+length3, "GET", "", false, 9) // to a probe
	must.NoError(t, err)
	_, _, _, err = parseResponse(ok200+length3, "GET", "", false, 9)
	must.True(t, isInvalidResponse(err)) // a late response where that of a probe is due
}

// FuzzAnswer checks that buffering does not change the result, that limits hold, and that a successful response means
// the same to net/http.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(ok200+length3), true, 5)
	f.Add([]byte("HTTP/1.1 100 C\r\n\r\n"+ok200+chunkedEncoding+"1;x\r\na\r\n02\r\nbc\r\n0\r\nT: 1\r\n\r\nmore"), false, 99)
	f.Add([]byte("HTTP/1.1 503 F\r\nNot-Executed: 1\r\nRetry-After: 1e9\r\nConnection: close\r\n\r\n"), true, 0)
	other := strings.ReplaceAll(ok200, "a1", "a0") // as if the response to another request preceded this one
	for _, raw := range []string{other + length3 + ok200 + length3, ok200 + length3 + other + length3,
		ok200 + "Content-Length: 9\r\n\r\nab",
		"HTTP/1.1 421 M\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 500 E\r\nAttempt-Id: a1\r\n\r\nabc"} {
		for cut := range 8 {
			f.Add([]byte(raw), cut%2 == 0, cut*len(raw)/8)
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte, firstUse bool, buffered int) {
		response, responseHead, _, err := parseResponse(string(raw), "GET", "a1", firstUse, max(0, buffered))
		unbuffered, _, _, err2 := parseResponse(string(raw), "GET", "a1", firstUse, 0)
		must.Eq(t, err, err2)
		must.Eq(t, response.Outcome, unbuffered.Outcome)
		must.Eq(t, response.Body, unbuffered.Body)
		must.LessEq(t, testLimits.MaxBodyBytes, len(response.Body))
		if err != nil || response.Status > 299 {
			return
		}
		must.True(t, responseHead.attemptID == "a1" && response.Seal != "")
		in := bufio.NewReader(bytes.NewReader(raw))
		res, err := http.ReadResponse(in, nil)
		for err == nil && res.StatusCode < 200 {
			res, err = http.ReadResponse(in, nil)
		}
		must.NoError(t, err)
		body, err := io.ReadAll(res.Body)
		must.NoError(t, err)
		must.Eq(t, string(body), string(response.Body))
		must.Eq(t, res.StatusCode, response.Status)
	})
}
