package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	responseTimeout   = time.Second // without a response for this long, the next controller is called
	minBytesPerSecond = 1 << 20     // extends the timeout for large bodies
	maxResponseBytes  = 16 << 20
	maxRedirects      = 2
	maxRefusals       = 3 // of kinds for which another controller may respond differently
	minBackoff        = 50 * time.Millisecond
	maxBackoff        = time.Second
)

// Client calls the controllers that it knows, one at a time. It is safe for concurrent use.
type Client struct {
	http *http.Client

	mu    sync.Mutex
	addrs []string
	next  int
}

// New returns a client with the given control addresses.
func New(addrs ...string) *Client {
	return &Client{addrs: slices.Clone(addrs), http: &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 5 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// RefusedError is the error for a response that a retry isn't expected to change.
type RefusedError struct {
	Status       int
	Reason, Peer string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("peer %s: status %d: %s", e.Peer, e.Status, e.Reason)
}

// Call sends a request until it gets a definite response, as the protocol requires of every caller. After an error, a
// status of 5xx, 408 or 429, or a second without a response it calls the next controller, with exponential backoff. It
// returns when a controller refuses the request and when ctx ends, so ctx must have a deadline.
func (c *Client) Call(ctx context.Context, method, path string, body []byte) (response []byte, peer string, err error) {
	refusals, backoff := 0, minBackoff
	var last error
	for {
		peer = c.nextAddress()
		if peer == "" {
			return nil, "", errors.Errorf("%s %s: no control address is known", method, path)
		}
		status, response, err := c.once(ctx, method, peer, path, body)
		switch {
		case err != nil:
		case status/100 == 2:
			c.prefer(peer)
			return response, peer, nil
		case status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			err = &RefusedError{status, errorText(response), peer}
			switch refusals++; status {
			case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge,
				http.StatusUnprocessableEntity:
				refusals = maxRefusals
			}
			if refusals >= maxRefusals {
				return nil, peer, errors.Wrapf(err, "%s %s", method, path)
			}
		default:
			err = errors.Errorf("peer %s: status %d: %s", peer, status, errorText(response))
		}
		if ctx.Err() == nil || last == nil {
			last = err // that the deadline has passed says less than the error before it
		}
		select {
		case <-ctx.Done():
			return nil, peer, errors.Wrapf(last, "%s %s: deadline reached, last error", method, path)
		case <-time.After(backoff/2 + rand.N(backoff/2)): // jitter spreads callers that failed at the same moment
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// GetFrom sends one GET request to one controller and decodes the JSON response into the value that into points to.
func (c *Client) GetFrom(ctx context.Context, peer, path string, into any) error {
	status, response, err := c.once(ctx, http.MethodGet, peer, path, nil)
	if err == nil && status != http.StatusOK {
		err = errors.Errorf("peer %s: status %d: %s", peer, status, errorText(response))
	}
	if err == nil {
		err = json.Unmarshal(response, into)
	}
	if err != nil {
		return errors.Wrapf(err, "GET %s", path)
	}
	return nil
}

// once makes one call and follows up to maxRedirects redirects.
func (c *Client) once(ctx context.Context, method, peer, path string, body []byte) (int, []byte, error) {
	target := "http://" + peer + path
	for redirects := 0; ; redirects++ {
		res, response, err := c.exchange(ctx, method, target, body)
		if err != nil {
			return 0, nil, errors.Wrapf(err, "peer %s", peer)
		}
		if res.StatusCode != http.StatusTemporaryRedirect {
			return res.StatusCode, response, nil
		}
		location, err := res.Location()
		if err != nil || redirects == maxRedirects {
			return 0, nil, errors.Errorf("peer %s: redirected %d times, or without a location", peer, redirects+1)
		}
		target = location.String()
	}
}

// exchange sends a request and reads the response, with a timeout for each of the two.
func (c *Client) exchange(ctx context.Context, method, target string, body []byte) (*http.Response, []byte, error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	// The first timeout covers the time to the response headers; reading a response that has begun may take longer.
	timeout := responseTimeout + time.Duration(len(body))*time.Second/minBytesPerSecond
	timer := time.AfterFunc(timeout, func() { stop(errors.Errorf("silent for %v", timeout)) })
	defer timer.Stop()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, nil, withCause(ctx, err)
	}
	defer res.Body.Close()
	timer.Reset(responseTimeout + maxResponseBytes*time.Second/minBytesPerSecond)
	response, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return nil, nil, withCause(ctx, err)
	}
	if len(response) > maxResponseBytes {
		return nil, nil, errors.Errorf("response of more than %d bytes", maxResponseBytes)
	}
	return res, response, nil
}

// withCause replaces "context canceled" by the context's cause, and otherwise drops the method and URL that *url.Error adds,
// since callers add their own.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	var outer *url.Error
	if errors.As(err, &outer) {
		return outer.Err
	}
	return err
}

// errorText extracts the error message from a controller's response.
func errorText(response []byte) string {
	var body struct{ Error string }
	if json.Unmarshal(response, &body) == nil && body.Error != "" {
		return body.Error
	}
	if len(response) > 200 {
		response = response[:200]
	}
	return strings.ToValidUTF8(strings.TrimSpace(string(response)), "?")
}

// nextAddress returns the addresses in turn.
func (c *Client) nextAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) == 0 {
		return ""
	}
	addr := c.addrs[c.next%len(c.addrs)]
	c.next++
	return addr
}

// prefer makes the next call start with a controller that has just responded.
func (c *Client) prefer(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.addrs, peer); i >= 0 {
		c.next = i
	}
}

// addAddresses adds addresses, because all of those that the client was created with may be replaced in time.
func (c *Client) addAddresses(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addrs {
		if a != "" && !slices.Contains(c.addrs, a) {
			c.addrs = append(c.addrs, a)
		}
	}
}
