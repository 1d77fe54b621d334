package accounting

// WaitReason is what kept a job from being done at a moment. Exactly one reason applies at each moment.
// docs/design/accounting.md has the rules.
type WaitReason int

// Wait reasons. Their numbers are stored, so new ones must be added at the end.
const (
	NotAccepted          WaitReason = iota // the acceptance is not durable yet
	NoLeader                               // no controller held the leader lease, or a failover was not complete
	StateUnavailable                       // the state service accepted no changes, and the job waited for a commit
	NoUsableMachine                        // no machine that can run the job was up or booting
	MachineBooting                         // all machines that can run the job were booting
	TeamQuota                              // the team's quota was used up
	Reserved                               // the available resources were reserved for other jobs ahead in the queue
	Queued                                 // all machines were full, and the job was behind others in the queue
	AwaitingHeartbeat                      // resources were available, and the start waited for the machine's next heartbeat
	FetchingImage                          // the last tasks to start were fetching their image
	Running                                // all unfinished tasks ran
	MachineLost                            // all unfinished tasks had been lost with a machine or its lease
	AttemptFailed                          // all unfinished tasks had failed or been refused by their machine
	Preempted                              // all unfinished tasks had been preempted
	NotDurable                             // all tasks were done, and the result was not durable yet
	EarlierLeader                          // unknown: the time after an earlier leader last stored the account
	CrashLooping                           // tasks failed wherever they were tried, and one was tried at a time
	AwaitingDependencies                   // jobs on which it depends were not done yet

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

// String returns the reason's name as users see it. It panics if the reason is not one of the constants.
func (r WaitReason) String() string { return reasonNames[r] }
