package fleetconfig

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParse checks that Parse either returns a typed error with a 4xx status, or a configuration that keeps the rules.
func FuzzParse(f *testing.F) {
	for _, body := range []string{
		``, `{}`, `null`, `[]`, `{"Version":1}`, `{"Version":1e999}`, `{"Version":-1,"Routes":[{}]}`,
		`{"Version":7,"Routes":[{"Name":"r","Hostname":"h","PathPrefix":"/p/","RouteType":"safe","TimeoutMs":10,"Service":"s"}],` +
			`"Services":[{"Name":"s","HealthCheck":"/h","MaxConnections":5}],"Limits":{"MaxHeaderBytes":1}}`,
		`{"Version":7,"Routes":[{"Name":"r","Hostname":"h","PathPrefix":"/p/","TimeoutMs":10,"TrafficSplit":[{"Service":"s","Weight":0}]}],` +
			`"Services":[{"Name":"s"}]}`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		config, err := Parse(body)
		if err != nil {
			var typed *Error
			require.True(t, errors.As(err, &typed))
			status := StatusOf(err)
			require.True(t, status >= 400 && status < 500, status)
			return
		}
		services := map[string]bool{}
		for _, service := range config.Services {
			services[service.Name] = true
		}
		for _, route := range config.Routes {
			require.Positive(t, route.TimeoutMs)
			for _, target := range route.Split {
				require.True(t, services[target.Service], "a target must be a known service")
			}
		}
	})
}
