package localsystem

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// Change puts a version and waits till each front routes by it.
func (s *System) Change(ctx context.Context, version int) error {
	held, err := s.client.Put(ctx, Config(version))
	if err != nil {
		return errors.Wrapf(err, "version %d", version)
	}
	if held > uint64(version) {
		return errors.Errorf("version %d: somebody else has put version %d", version, held)
	}
	for i, at := range s.Fronts {
		n := 0
		err := s.until(ctx, fmt.Sprintf("front %d routes by version %d", i, version), func() bool {
			n++
			return status(ctx, "http://"+at+"/later/", fmt.Sprintf("probe-%d-%d", i, n)) == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// KillPrimary kills the controller that leads.
func (s *System) KillPrimary(ctx context.Context) (string, error) {
	st, err := s.client.Status(ctx)
	if err != nil {
		return "", errors.Wrap(err, "who leads")
	}
	leads, _, err := net.SplitHostPort(st.Primary)
	if err != nil {
		return "", errors.Wrap(err, "who leads")
	}
	for i := range s.options.Controllers {
		if controllerIP(i) == leads {
			s.Processes[i].Kill()
			return s.Processes[i].Name, nil
		}
	}
	return "", errors.Errorf("no controller has the address %s", leads)
}
