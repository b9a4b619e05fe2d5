package retrybudget_test

import (
	"time"

	"peathollow/retrybudget"
)

// trail is what a mixer tells its book of the dispatches of one request.
type trail struct{ dispatches int }

func (t *trail) sent(b *retrybudget.Book, now time.Duration) {
	if t.dispatches++; t.dispatches > 1 {
		b.Spend(now, service)
	}
}

func (t *trail) ended(*retrybudget.Book, time.Duration, bool) {}

func (t *trail) room(b *retrybudget.Book, now, _ time.Duration) bool { return b.Room(now, service) }
