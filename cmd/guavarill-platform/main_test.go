package main

import (
	"errors"
	"testing"

	"github.com/guavarill/guavarill/platform"
)

func TestPortsAreChecked(t *testing.T) {
	for _, c := range []struct {
		o     options
		field string
	}{
		{options{}, ""},
		{options{MetricsPort: 9464, APIPort: 9465}, ""},
		{options{MetricsPort: 70000}, "--metrics-port"},
		{options{APIPort: -1}, "--api-port"},
		{options{MetricsPort: 9464, APIPort: 9464}, "--api-port"},
	} {
		err := c.o.validate()
		var wrong *platform.SettingsError
		switch {
		case c.field == "" && err != nil:
			t.Errorf("%+v: %v", c.o, err)
		case c.field != "" && (!errors.As(err, &wrong) || wrong.Field != c.field):
			t.Errorf("%+v: %v, want an error for %s", c.o, err, c.field)
		}
	}
}
