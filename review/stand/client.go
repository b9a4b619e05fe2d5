package stand

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// Answer is what a client got for one try.
type Answer struct {
	Status int // 0: no answer
	Took   time.Duration
	Body   string
	Header http.Header
	Err    error
}

// Client sends requests to the front over kept connections.
type Client struct {
	record *Record
	front  string
	http   *http.Client
}

// NewClient returns a client of a front.
func NewClient(s *System, front int) *Client {
	return &Client{record: s.Record, front: s.Fronts[front], http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// Try sends one try and waits for its answer.
func (c *Client) Try(method, host, path, id, body, deadlineMs string) Answer {
	began := time.Now()
	req, err := http.NewRequest(method, "http://"+c.front+path, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", deadlineMs)
	c.record.Printf("client: sends %s %s %s", id, method, path)
	res, err := c.http.Do(req)
	if err != nil {
		c.record.Printf("client: %s: no answer: %v", id, err)
		return Answer{Err: err, Took: time.Since(began)}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	took := time.Since(began)
	c.record.Printf("client: %s: answered %d after %d ms", id, res.StatusCode, took.Milliseconds())
	return Answer{Status: res.StatusCode, Took: took, Body: string(b), Header: res.Header, Err: err}
}
