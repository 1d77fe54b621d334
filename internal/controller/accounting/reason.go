package accounting

// WaitReason is what kept a job from being done at a moment. Exactly one reason applies at any moment; the rules are in
// docs/design/accounting.md.
type WaitReason int

// The wait reasons. Their numbers are stored: new ones come at the end.
const (
	NotAccepted          WaitReason = iota // the acceptance is not durable yet
	NoLeader                               // no controller held the leader lease, or a failover was not complete
	StateUnavailable                       // the state service took no changes, and the job waited for that
	NoUsableMachine                        // no machine that may run the job was up or booting
	MachineBooting                         // the only machines that may run the job were booting
	TeamQuota                              // the team's quota was used up
	Reserved                               // the available resources were reserved for jobs before it
	Queued                                 // all machines were full: the job was behind others in the queue
	AwaitingHeartbeat                      // resources were available, and the start waited for the machine's next heartbeat
	FetchingImage                          // the last tasks to start were fetching their image
	Running                                // all unfinished tasks ran
	MachineLost                            // all unfinished tasks had been lost with a machine or its lease
	AttemptFailed                          // all unfinished tasks had failed or been refused by their machine
	Preempted                              // all unfinished tasks had been preempted
	NotDurable                             // all tasks were done, and that was not durable yet
	EarlierLeader                          // unknown: under an earlier leader, after it last wrote the account
	CrashLooping                           // tasks fail wherever they are tried, and one is tried at a time
	AwaitingDependencies                   // other jobs had to be done first

	// WaitReasonCount is the number of wait reasons.
	WaitReasonCount = int(AwaitingDependencies) + 1
)

// reasonNames are the names that users see. They are also values of a metric's label and keys of a log line.
var reasonNames = [WaitReasonCount]string{
	NotAccepted:          "not accepted yet",
	NoLeader:             "no acting leader",
	StateUnavailable:     "state service away",
	NoUsableMachine:      "no machine of its kind rented",
	MachineBooting:       "machines boot",
	TeamQuota:            "team's limit",
	Reserved:             "room held for others",
	Queued:               "behind others in the order",
	AwaitingHeartbeat:    "waits for a report",
	FetchingImage:        "image",
	Running:              "running",
	MachineLost:          "attempt lost with its machine",
	AttemptFailed:        "attempt failed or refused",
	Preempted:            "stopped for other work",
	NotDurable:           "result not durable",
	EarlierLeader:        "under an earlier leader",
	CrashLooping:         "fails wherever it is tried",
	AwaitingDependencies: "waits for other jobs",
}

// String returns the reason's name as users see it.
func (r WaitReason) String() string { return reasonNames[r] }
