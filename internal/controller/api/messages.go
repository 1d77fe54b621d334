package api

// The tags of these messages are the users' protocol and the JSON that `gullrudder` prints. Neither the tags nor the order of the
// fields may change.

// jobResponse is the response to a submission, a query or a cancellation: the state of the job.
type jobResponse struct {
	ID         string `msgpack:"id"`
	State      string `msgpack:"trim"`
	Label      string `msgpack:"label,omitempty"`
	Done       *int   `msgpack:"done,omitempty"`    // done tasks
	Running    *int   `msgpack:"running,omitempty"` // tasks reported as running
	WaitReason string `msgpack:"because,omitempty"` // what keeps the job from being done now
}

// QueuedJob is a job in a view of the queue. Times are in seconds. The start bounds were set when the job was accepted; 0 means that
// there is none.
type QueuedJob struct {
	ID                     string  `msgpack:"id" json:"id"`
	Team                   string  `msgpack:"team" json:"team"`
	Class                  string  `msgpack:"class" json:"class"`
	Rank                   string  `msgpack:"standing" json:"standing"`
	WaitingTasks           int     `msgpack:"waiting" json:"waiting"`
	RunningTasks           int     `msgpack:"running" json:"running"`
	DoneTasks              int     `msgpack:"done" json:"done"`
	AgeSeconds             float64 `msgpack:"age_s" json:"age_s"`
	FirstStartBoundSeconds float64 `msgpack:"start_by_s,omitempty" json:"start_by_s,omitempty"`
	LastStartBoundSeconds  float64 `msgpack:"last_start_by_s,omitempty" json:"last_start_by_s,omitempty"`
	MissedStartBound       bool    `msgpack:"late,omitempty" json:"late,omitempty"`
}

// Queue is what `gullrudder queue` shows: the waiting jobs in the order in which they get resources.
type Queue struct {
	Jobs              []QueuedJob `msgpack:"jobs" json:"jobs"`
	Total             int         `msgpack:"total" json:"total"`                 // matching jobs, also those that are not listed
	MissedStartBounds int         `msgpack:"bounds_missed" json:"bounds_missed"` // jobs that missed their first start bound under this leader
}

// Explanation is what `gullrudder explain` shows.
type Explanation struct {
	QueuedJob       `msgpack:",inline"`
	State           string      `msgpack:"state" json:"state"`
	Position        int         `msgpack:"position" json:"position"` // in the queue, from 1; 0: not in the queue
	JobsAhead       []QueuedJob `msgpack:"before" json:"before"`     // the first ones, at most maxJobsAhead
	CPUSecondsAhead float64     `msgpack:"cpu_s_before" json:"cpu_s_before"`
	Reasons         []string    `msgpack:"because" json:"because"`           // why the job waits
	Remedies        []string    `msgpack:"would_change" json:"would_change"` // what would let the job start earlier
	TimeShares      []TimeShare `msgpack:"account" json:"account"`           // the job's time so far, by wait reason
}

// TimeShare is the time of one wait reason.
type TimeShare struct {
	Reason       string `msgpack:"cause" json:"cause"`
	Milliseconds int64  `msgpack:"ms" json:"ms"`
}

// ClassAccount is the time of a team's finished jobs of a class, by wait reason.
type ClassAccount struct {
	Team         string      `msgpack:"team" json:"team"`
	Class        string      `msgpack:"class" json:"class"`
	JobCount     int         `msgpack:"jobs" json:"jobs"`
	Milliseconds int64       `msgpack:"ms" json:"ms"` // the sum of the shares
	Shares       []TimeShare `msgpack:"shares" json:"shares"`
}

// Accounts is what `gullrudder account` shows.
type Accounts struct {
	Accounts []ClassAccount `msgpack:"accounts" json:"accounts"`
	OpenJobs int            `msgpack:"open" json:"open"` // unfinished jobs, which are not counted
}

// ServedShare is the share of the recent jobs of a class or team that were done.
type ServedShare struct {
	IsTeam        bool    `msgpack:"team" json:"team"` // a team; otherwise a class
	Name          string  `msgpack:"name" json:"name"`
	DoneJobs      float64 `msgpack:"done" json:"done"`       // recently done jobs; each counts less with time
	StarvedJobs   int     `msgpack:"late" json:"late"`       // overdue by so much that they count against the share
	AllocatedJobs int     `msgpack:"owed" json:"owed"`       // overdue jobs with allocated capacity
	Share         float64 `msgpack:"share" json:"share"`     // done jobs as a share of the done and starved jobs
	IsLargestJobs bool    `msgpack:"largest" json:"largest"` // the group has only the largest jobs of the class
}

// ServedShares is what `gullrudder served` shows, the least served first.
type ServedShares struct {
	Groups   []ServedShare `msgpack:"groups" json:"groups"`
	MinShare float64       `msgpack:"least" json:"least"` // a class or team with a lower share goes ahead of others
}

// ZoneStatus is the state of a zone according to its heartbeats. Times are in seconds.
type ZoneStatus struct {
	Name                 string  `msgpack:"name" json:"name"`
	State                string  `msgpack:"state" json:"state"`
	StateSeconds         float64 `msgpack:"for_s" json:"for_s"`             // since the state was entered
	LastHeartbeatSeconds float64 `msgpack:"heard_s_ago" json:"heard_s_ago"` // since the last heartbeat from the zone
	Machines             int     `msgpack:"machines" json:"machines"`       // machines whose heartbeats are expected
	Overdue              int     `msgpack:"overdue" json:"overdue"`         // of these, machines whose heartbeats are overdue
	Outages              int     `msgpack:"cuts" json:"cuts"`               // in the last ten minutes
}

// Zones is what `gullrudder zones` shows.
type Zones struct {
	Zones []ZoneStatus `msgpack:"zones" json:"zones"`
}
