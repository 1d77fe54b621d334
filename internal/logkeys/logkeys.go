// Package logkeys defines the attribute keys of log lines. All packages use the same key for the same thing, so that an operator can search
// the log by it. The package holds no state. docs/operations/log-messages.md lists the messages.
package logkeys

// Keys of the subject of a log line.
const (
	Controller   = "controller"    // name of a controller
	Job          = "job"           // job ID
	Task         = "task"          // task ID: job ID and index
	Attempt      = "attempt"       // number of an attempt of a task
	Machine      = "machine"       // machine ID, as its worker reports it
	Instance     = "instance"      // instance ID, as the cloud lists it
	InstanceType = "instance_type" // name of a machine type
	Spot         = "spot"          // whether an instance is a spot instance
	Request      = "request"       // name of a request to the cloud
	Zone         = "zone"          // name of a zone
	Team         = "team"          // name of a team
	Class        = "class"         // name of a class of jobs
	Key          = "key"           // key in the state service
	FencingToken = "fencing_token" // fencing token of a leader
	Incarnation  = "incarnation"   // incarnation of a worker, see workerapi.Heartbeat
	Revision     = "revision"      // revision of the state service
	Snapshot     = "snapshot"      // snapshot file of the state service
	Process      = "process"       // name of a process of a site
	ProcessGroup = "process_group" // process group of a task
	Worker       = "worker"        // address of a worker
	RemoteAddr   = "remote_addr"   // address of the client of a request
)

// Keys of stored data.
const (
	Bytes          = "bytes"           // size in bytes
	Dependency     = "dependency"      // ID of a job that another one depends on
	Level          = "level"           // how often the jobs of an archive segment have been compacted
	Limit          = "limit"           // the limit that applies
	Segment        = "segment"         // number of an archive segment
	Segments       = "segments"        // number of archive segments
	UnfinishedJobs = "unfinished_jobs" // number of unfinished jobs
	FinishedJobs   = "finished_jobs"   // number of finished jobs that are not archived
	ArchivedJobs   = "archived_jobs"   // number of archived jobs
)

// Keys of the details of an event.
const (
	Count           = "count"            // number of things that the message is about
	Machines        = "machines"         // number of machines
	Tasks           = "tasks"            // number of tasks
	FailedMachines  = "failed_machines"  // number of machines on which a job has failed
	StoppedAttempts = "stopped_attempts" // number of attempts that are stopped
	Duration        = "duration"         // a duration
	Err             = "err"              // an error
	Path            = "path"             // path of a request or a file
	Reason          = "reason"           // reason, in plain words
	State           = "state"            // state entered
	PreviousState   = "previous_state"   // state before
	Status          = "status"           // HTTP status code
	Field           = "field"            // name of a field of a request
	Value           = "value"            // value of a field, shortened
	Label           = "label"            // guaranteed or best effort
	Slowdown        = "slowdown"         // run time of a straggler's tasks relative to other machines
	Created         = "created"          // number of instances that the cloud created
	Overdue         = "overdue"          // number of overdue heartbeats
	Outages         = "outages"          // number of recorded outages of a zone
	Version         = "version"          // version of the dynamic configuration
	Author          = "author"           // who changed the dynamic configuration
	Changes         = "changes"          // changes of the dynamic configuration
	// RestartDelay is the time until a process is restarted.
	RestartDelay = "restart_delay"
)
