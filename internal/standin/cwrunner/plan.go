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

// defaultRunTime is how long a task runs whose payload states nothing.
const defaultRunTime = 5 * time.Millisecond

// simulation is the part of a payload that steers the stand-in.
type simulation struct {
	Simulate struct {
		Run  cwcodec.Duration   `json:"run"`  // how long it runs
		End  string             `json:"end"`  // how it ends; done if left out
		Used *cwcodec.Resources `json:"used"` // what it uses; its demand if left out
	} `json:"simulate"`
}

// Output is what the stand-in computes from a payload.
type Output struct {
	Task   string `json:"task"`
	Digest string `json:"digest"` // SHA-256 of the payload in hexadecimal
	Length int    `json:"length"`
}

// NewOutput returns the answer that belongs to a payload.
func NewOutput(task cwmodel.TaskID, payload []byte) Output {
	sum := sha256.Sum256(payload)
	return Output{Task: string(task), Digest: hex.EncodeToString(sum[:]), Length: len(payload)}
}

// PlanExecution computes how a task will go from its payload.
func PlanExecution(t cwmodel.Task) cwmemory.ExecutionPlan {
	var s simulation
	_ = json.Unmarshal(t.Payload, &s) // a payload of another form steers nothing
	plan := cwmemory.ExecutionPlan{RunTime: time.Duration(s.Simulate.Run), End: cwmodel.EndDone, Used: t.Demand}
	if plan.RunTime <= 0 && t.Kind != cwmodel.KindService {
		plan.RunTime = defaultRunTime
	}
	if end, err := cwmodel.ParseEndKind(s.Simulate.End); err == nil {
		plan.End, plan.Message = end, "simulated"
	}
	if s.Simulate.Used != nil {
		plan.Used = s.Simulate.Used.Core()
	}
	if plan.End == cwmodel.EndDone {
		plan.Output, _ = json.Marshal(NewOutput(t.ID, t.Payload))
	}
	return plan
}
