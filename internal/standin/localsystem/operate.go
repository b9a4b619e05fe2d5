package localsystem

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// ChangeConfig submits a configuration version and waits until every front routes by it.
func (s *System) ChangeConfig(ctx context.Context, version int) error {
	accepted, err := s.client.Put(ctx, Config(version))
	if err != nil {
		return errors.Wrapf(err, "version %d", version)
	}
	if accepted > uint64(version) {
		return errors.Errorf("version %d: version %d has been submitted by another client", version, accepted)
	}
	for i, front := range s.Fronts {
		probe := 0
		err := s.waitFor(ctx, fmt.Sprintf("front %d routes by version %d", i, version), func() bool {
			probe++
			return status(ctx, "http://"+front+"/later/", fmt.Sprintf("probe-%d-%d", i, probe)) == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// KillPrimary kills the primary controller and returns its name.
func (s *System) KillPrimary(ctx context.Context) (string, error) {
	st, err := s.client.Status(ctx)
	if err != nil {
		return "", errors.Wrap(err, "who leads")
	}
	primary, _, err := net.SplitHostPort(st.Primary)
	if err != nil {
		return "", errors.Wrap(err, "who leads")
	}
	for i := range s.options.Controllers {
		if controllerIP(i) == primary {
			s.Processes[i].Kill()
			return s.Processes[i].Name, nil
		}
	}
	return "", errors.Errorf("no controller has the address %s", primary)
}
