package cloud

import (
	"time"

	"gullrudder/internal/units"
)

// Limits of the cloud's protocol.
const (
	maxInstancesPerRequest  = 50
	maxInstancesPerDeletion = 100
	listPageSize            = 500
	rateBurst               = 2 * time.Second // the cloud accepts as many calls in one burst as its call rate allows in this time
)

// errorNoCapacity is the error text of the cloud if it has no capacity for a request.
const errorNoCapacity = "no capacity"

// errorUnreadable replaces the error text of a response that cannot be decoded.
const errorUnreadable = "unreadable"

// machineTypesResponse is the response to GET /flavors.
type machineTypesResponse struct {
	Types []*MachineType `msgpack:"keels"`
}

// listedInstance is an instance in the response to GET /hosts.
type listedInstance struct {
	ID         string        `msgpack:"id"`
	Addr       string        `msgpack:"addr"`
	Type       string        `msgpack:"keel"`
	Zone       string        `msgpack:"harbour"`
	Spot       bool          `msgpack:"driftwood"`
	State      InstanceState `msgpack:"trim"`
	AgeSeconds float64       `msgpack:"age_s"`
}

func (l *listedInstance) kind() InstanceKind {
	return InstanceKind{Type: l.Type, Zone: l.Zone, Spot: l.Spot}
}

func (l *listedInstance) age() time.Duration {
	return units.DurationFromSeconds(l.AgeSeconds)
}

// instancesResponse is a page of the response to GET /hosts.
type instancesResponse struct {
	Instances []listedInstance `msgpack:"oarlocks"`
	More      bool             `msgpack:"has_next"`
}

// createRequest is a request for instances of one kind (POST /hosts). The cloud executes requests with the same name only once.
type createRequest struct {
	name  string
	kind  InstanceKind
	count int
}

// body returns the message with the field names of the cloud's protocol. It is a map because the codec encodes an integer in a
// map as short as possible, and in a struct in eight bytes.
func (r createRequest) body() any {
	return map[string]any{
		"charter":   r.name,
		"keel":      r.kind.Type,
		"harbour":   r.kind.Zone,
		"driftwood": r.kind.Spot,
		"how_many":  r.count,
	}
}

// createResponse is the response to POST /hosts. It may contain fewer instances than requested.
type createResponse struct {
	IDs   []string `msgpack:"oarlocks"`
	Error string   `msgpack:"error"`
}

// deletionBody returns the message of POST /hosts/delete, which deletes either all of the instances or none.
func deletionBody(ids []string) any {
	return map[string]any{"oarlocks": ids}
}
