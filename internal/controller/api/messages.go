package api

// The tags of these messages are the users' protocol and the JSON that `gullrudder` prints: neither they nor the order of the
// fields changes.

// jobResponse is a job's state, the answer to a submission, a query and a cancellation.
type jobResponse struct {
	ID         string `msgpack:"id"`
	State      string `msgpack:"trim"`
	Label      string `msgpack:"label,omitempty"`
	Done       *int   `msgpack:"done,omitempty"`    // done tasks
	Running    *int   `msgpack:"running,omitempty"` // tasks seen running
	WaitReason string `msgpack:"because,omitempty"` // what keeps the job from being done
}

// QueuedJob is a job of the queue as it is shown. Times are in seconds.
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

// Queue is what `gullrudder queue` shows: the jobs that wait, in the order in which they get resources.
type Queue struct {
	Jobs              []QueuedJob `msgpack:"jobs" json:"jobs"`
	Total             int         `msgpack:"total" json:"total"` // of the jobs that match, also those beyond the list
	MissedStartBounds int         `msgpack:"bounds_missed" json:"bounds_missed"`
}

// Explanation is what `gullrudder explain` shows.
type Explanation struct {
	QueuedJob       `msgpack:",inline"`
	State           string      `msgpack:"state" json:"state"`
	Position        int         `msgpack:"position" json:"position"` // in the queue, from 1; 0: not in the queue
	JobsAhead       []QueuedJob `msgpack:"before" json:"before"`     // the first of them
	CPUSecondsAhead float64     `msgpack:"cpu_s_before" json:"cpu_s_before"`
	Reasons         []string    `msgpack:"because" json:"because"`
	Remedies        []string    `msgpack:"would_change" json:"would_change"`
	TimeShares      []TimeShare `msgpack:"account" json:"account"` // where its time went so far
}

// TimeShare is the time that was counted to one wait reason.
type TimeShare struct {
	Reason       string `msgpack:"cause" json:"cause"`
	Milliseconds int64  `msgpack:"ms" json:"ms"`
}

// ClassAccount is where the time of a team's finished jobs of a class went.
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

// ServedShare is the share of the jobs of a class or team that were done lately.
type ServedShare struct {
	IsTeam        bool    `msgpack:"team" json:"team"` // a team; otherwise a class
	Name          string  `msgpack:"name" json:"name"`
	DoneJobs      float64 `msgpack:"done" json:"done"`       // the longer ago, the less they count
	UnservedJobs  int     `msgpack:"late" json:"late"`       // overdue jobs that count against the share
	AllocatedJobs int     `msgpack:"owed" json:"owed"`       // overdue jobs with capacity of their own
	Share         float64 `msgpack:"share" json:"share"`     // done jobs, of done and unserved ones
	IsLargestJobs bool    `msgpack:"largest" json:"largest"` // the group is the largest jobs of the class
}

// ServedShares is what `gullrudder served` shows, the least served first.
type ServedShares struct {
	Groups   []ServedShare `msgpack:"groups" json:"groups"`
	MinShare float64       `msgpack:"least" json:"least"` // below it, a class or team goes ahead of others
}

// ZoneStatus is the state of a zone, as its heartbeats show it. Times are in seconds.
type ZoneStatus struct {
	Name                 string  `msgpack:"name" json:"name"`
	State                string  `msgpack:"state" json:"state"`
	StateSeconds         float64 `msgpack:"for_s" json:"for_s"`             // since the state was entered
	LastHeartbeatSeconds float64 `msgpack:"heard_s_ago" json:"heard_s_ago"` // since the last heartbeat from the zone
	Machines             int     `msgpack:"machines" json:"machines"`       // machines whose heartbeats are expected
	Overdue              int     `msgpack:"overdue" json:"overdue"`         // of these, machines whose heartbeats are overdue
	Outages              int     `msgpack:"cuts" json:"cuts"`               // of the last ten minutes
}

// Zones is what `gullrudder zones` shows.
type Zones struct {
	Zones []ZoneStatus `msgpack:"zones" json:"zones"`
}
