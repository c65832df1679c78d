package adminapi

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/labstack/echo/v4"

	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/daemon"
)

// setCordon cordons the zone in the path or, with lift, opens it again.
func (s *Server) setCordon(c echo.Context, lift bool) error {
	zone := c.Param("zone")
	if !manifest.ValidName(zone) {
		return respondProblem(c, http.StatusBadRequest, BadQuery, &InvalidZoneError{Zone: zone})
	}
	err := s.o.Daemon.SetCordon(c.Request().Context(), model.Zone(zone), lift)
	switch {
	case err == nil:
		return c.JSON(http.StatusOK, ChangeResult{Outcome: Accepted})
	case daemon.CordonNotMade(err):
		return c.JSON(http.StatusServiceUnavailable, ChangeResult{Outcome: NotMade, Detail: err.Error()})
	}
	return c.JSON(http.StatusBadGateway, ChangeResult{Outcome: Unknown, Detail: err.Error()})
}

// InvalidZoneError reports a name that no availability zone can have.
type InvalidZoneError struct{ Zone string }

// Error implements error.
func (e *InvalidZoneError) Error() string { return fmt.Sprintf("%q is not the name of a zone", e.Zone) }

// Cordon closes an availability zone to new tasks. It may be repeated at any daemon.
// An error is a *CallError.
func (c *Client) Cordon(ctx context.Context, zone model.Zone) (ChangeResult, error) {
	return c.setCordon(ctx, http.MethodPut, zone)
}

// LiftCordon opens an availability zone again. It may be repeated at any daemon. An
// error is a *CallError.
func (c *Client) LiftCordon(ctx context.Context, zone model.Zone) (ChangeResult, error) {
	return c.setCordon(ctx, http.MethodDelete, zone)
}

func (c *Client) setCordon(ctx context.Context, method string, zone model.Zone) (ChangeResult, error) {
	return c.changeWith(ctx, method, "/v1/cordons/"+url.PathEscape(string(zone)), nil)
}
