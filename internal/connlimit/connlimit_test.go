package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"peathollow/internal/standin/pipes"
)

// ask sends a request and waits for its answer, if there is to be one now.
func ask(t *testing.T, c net.Conn, path string, answer bool) {
	t.Helper()
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	if answer {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, res.StatusCode)
	}
	synctest.Wait()
}

func closed(c net.Conn) bool {
	_, err := c.Write([]byte("G"))
	return err != nil
}

// TestLongestAtRestMakesRoom: the connection that rested longest is closed for a new one; where all have a request in hand, the new
// one is.
func TestLongestAtRestMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hold := make(chan struct{})
		s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/held" {
				<-hold
			}
		})}
		l, ln := New(2), make(pipes.Listener)
		l.Bind(s)
		go s.Serve(l.Listen(ln))
		defer s.Close()
		first, second := ln.Dial(), ln.Dial()
		ask(t, first, "/", true)
		ask(t, second, "/", true)
		ask(t, first, "/", true) // now the second has rested longer
		third := ln.Dial()
		ask(t, third, "/held", false)
		must.True(t, closed(second))
		ask(t, first, "/held", false)
		fourth := ln.Dial()
		synctest.Wait()
		must.True(t, closed(fourth))
		open, evicted, refused := l.Counts()
		must.Eq(t, []uint64{2, 1, 1}, []uint64{uint64(open), evicted, refused})
		close(hold)
		synctest.Wait()
		for _, c := range []net.Conn{third, first} {
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, res.StatusCode)
		}
		first.Close()
		third.Close()
		synctest.Wait()
		open, _, _ = l.Counts()
		must.Eq(t, 0, open)
	})
}
