package config

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const validPlatformFile = `{"host_name":"n0","public_addr":"10.0.0.1:80","peer_bind":"10.0.0.1:81","future":1,
 "others":[{"host_name":"n1","addr":"10.0.0.2:81"}],"outside":{"cloud":"10.2.0.2:1","state":"10.2.0.1:2"},
 "cluster":{"size":2,"zones":["a"],"teams":[{"name":"t"}],"workers":{"report_s":1,"lease_s":10,"cancel_s":30},
 "state":{"rps":200,"write_rps":15,"value_kb":8,"txn_ops":12},"cloud":{"rps":2,"list_lag_s":3},
 "quota":{"cpu":0.2,"ram_mb":98,"max_connections":900},"clock_error_ms":1000}}`

// TestParsePlatform checks the values of a valid platform file, and that an error names an invalid field.
func TestParsePlatform(t *testing.T) {
	platform, err := parsePlatform([]byte(validPlatformFile))
	if err != nil || platform.WorkerLeaseDuration != 10*time.Second || platform.MaxValueBytes != 8192 || platform.Peers[0].Name != "n1" {
		t.Fatalf("parse platform: got %+v, error %v, want worker lease 10s, values of 8192 bytes and peer n1", platform, err)
	}
	for field, edit := range map[string][2]string{
		"host_name":                     {`"host_name":"n0",`, ``},
		"public_addr":                   {`"10.0.0.1:80"`, `"nowhere"`},
		"outside.state":                 {`,"state":"10.2.0.1:2"`, ``},
		"cluster.workers.lease_s":       {`"lease_s":10`, `"lease_s":-1`},
		"cluster.state.txn_ops":         {`"txn_ops":12`, `"txn_ops":0`},
		"others[0].addr":                {`"10.0.0.2:81"`, `"x"`},
		"cluster.teams[0].name":         {`{"name":"t"}`, `{}`},
		"cluster.quota.max_connections": {`"max_connections":900`, `"max_connections":"many"`},
	} {
		t.Run(field, func(t *testing.T) {
			text := strings.Replace(validPlatformFile, edit[0], edit[1], 1)
			_, err := parsePlatform([]byte(text))
			if err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
				t.Fatalf("error: got %v, want one line that names the field %s", err, field)
			}
			var fieldErr *FieldError
			if !errors.As(err, &fieldErr) || fieldErr.Field != field {
				t.Errorf("error: got %#v, want a FieldError of %s", err, field)
			}
		})
	}
}
