package cwrunner

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/adapter/cwmemory"
	"currantward/internal/core/cwmodel"
)

// defaultRunTime is the run time of a task whose payload does not specify one.
const defaultRunTime = 5 * time.Millisecond

// simulation is the part of a payload that controls the stand-in.
type simulation struct {
	Simulate struct {
		Run  cwcodec.Duration   `json:"run"`  // run time; default: defaultRunTime, or until stopped for a service
		End  string             `json:"end"`  // kind of end; default: done
		Used *cwcodec.Resources `json:"used"` // resource usage to report; default: the demand
	} `json:"simulate"`
}

// Output is the output of a task on the stand-in. A checker compares it with the payload that was sent.
type Output struct {
	Task        string `json:"task"`
	PayloadHash string `json:"digest"` // SHA-256 of the payload, in hexadecimal
	Length      int    `json:"length"` // length of the payload, in bytes
}

// NewOutput returns the output of a task with the given payload.
func NewOutput(task cwmodel.TaskID, payload []byte) Output {
	sum := sha256.Sum256(payload)
	return Output{Task: string(task), PayloadHash: hex.EncodeToString(sum[:]), Length: len(payload)}
}

// PlanExecution returns the execution plan that the task's payload specifies.
func PlanExecution(t cwmodel.Task) cwmemory.ExecutionPlan {
	var s simulation
	_ = json.Unmarshal(t.Payload, &s) // a payload of another form has no simulation settings
	plan := cwmemory.ExecutionPlan{RunTime: time.Duration(s.Simulate.Run), End: cwmodel.EndDone, Used: t.Demand}
	if plan.RunTime <= 0 && t.Kind != cwmodel.KindService {
		plan.RunTime = defaultRunTime
	}
	if end, err := cwmodel.ParseEndKind(s.Simulate.End); err == nil {
		plan.End, plan.Message = end, "simulated"
	}
	if s.Simulate.Used != nil {
		plan.Used = s.Simulate.Used.ToModel()
	}
	if plan.End == cwmodel.EndDone {
		plan.Output, _ = json.Marshal(NewOutput(t.ID, t.Payload))
	}
	return plan
}
