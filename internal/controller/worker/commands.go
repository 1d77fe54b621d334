package worker

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/workerapi"
)

// commandTimeout limits the wait for the response to direct commands, which is ignored.
const commandTimeout = time.Second

// SendCommands sends commands to a machine's own address without waiting for its next heartbeat. That heartbeat shows their outcome,
// and the response to it repeats them if necessary. Start commands must be sent in heartbeat responses only, not this way.
func SendCommands(outbox *client.Outbox, fencingToken uint64, machine *Machine, commands []workerapi.Command) {
	outbox.Add(client.Call{
		Destination: client.WorkerAgent, Addr: machine.Addr, Method: http.MethodPost, Path: "/commands",
		Body:    workerapi.DirectCommands{FencingToken: fencingToken, Incarnation: machine.Incarnation, Commands: commands},
		Timeout: commandTimeout, Done: func(time.Time, client.Result) {},
	})
}
