package config

import (
	"encoding/json"
	"testing"

	"gullrudder/internal/goldenbytes"
)

// platformText is a controller's settings file with every field set.
const platformText = `{"host_name":"node-a","domain":"a","public_addr":"10.0.0.1:80","peer_bind":"10.0.0.1:81",` +
	`"others":[{"host_name":"node-b","domain":"b","addr":"10.0.0.2:81"}],"outside":{"cloud":"10.0.0.3:80","state":"10.0.0.4:80"},` +
	`"cluster":{"zones":["a","b"],"teams":[{"name":"vision","cpus":10,"cpus_max":20,"gpus":2,"gpus_max":4}],` +
	`"objectives":[{"kind":"start","class":"train","within_s":60,"share":0.9,"times":2}],` +
	`"workers":{"report_s":2,"lease_s":15,"cancel_s":30},` +
	`"state":{"rps":20,"write_rps":10,"value_kb":32,"txn_ops":64,"next":{"rps":19,"write_rps":9,"value_kb":31,"txn_ops":63}},` +
	`"cloud":{"rps":4,"list_lag_s":0.5},"quota":{"cpu":1,"ram_mb":512,"max_connections":128},"clock_error_ms":100}}`

func TestGoldenBytes(t *testing.T) {
	var file platformFile
	if err := json.Unmarshal([]byte(platformText), &file); err != nil {
		t.Fatal(err)
	}
	value := OptionValue{Name: "quiet", Value: 2.5}
	goldenbytes.Check(t,
		goldenbytes.JSON("platform file", file),
		goldenbytes.MessagePack("option", value),
		goldenbytes.JSON("option", value),
	)
}
