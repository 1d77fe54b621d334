package worker

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/workerapi"
)

// commandTimeout bounds the wait for the answer to direct commands. Nothing depends on the answer.
const commandTimeout = time.Second

// SendCommands sends commands to a machine's own address at once. Their outcome is seen in the machine's next heartbeat, and the
// response to that repeats them if need be. Starts must not be sent this way: they go in heartbeat responses only.
func SendCommands(outbox *client.Outbox, fencingToken uint64, machine *Machine, commands []workerapi.Command) {
	outbox.Add(client.Call{
		Destination: client.WorkerAgent, Addr: machine.Addr, Method: http.MethodPost, Path: "/commands",
		Body:    workerapi.DirectCommands{FencingToken: fencingToken, Incarnation: machine.Incarnation, Commands: commands},
		Timeout: commandTimeout, Done: func(time.Time, client.Result) {},
	})
}
