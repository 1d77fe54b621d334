package simulator

import (
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/submissiontest"
)

const (
	// extremeJobInterval is the mean number of random jobs of which one has extreme amounts.
	extremeJobInterval = 6
	// tinyAmount bounds the amounts of tinyAmounts.
	tinyAmount = 1e-8
)

// tinyAmounts returns fields of a submission with positive amounts that are close to zero. They do not change what the job needs or when
// its tasks save checkpoints.
func (u *Users) tinyAmounts(spec jobs.Spec) Submission {
	fields := Submission{"image_gb": u.tinyAmount()}
	if !spec.IsService {
		fields["voyage_s"] = u.tinyAmount()
	}
	return fields
}

func (u *Users) tinyAmount() float64 {
	for {
		if amount := submissiontest.RandomAmount(u.spelling); amount > 0 && amount < tinyAmount {
			return amount
		}
	}
}

// SubmitExtreme submits a job of which one amount is any number that the protocol allows.
func (u *Users) SubmitExtreme(spec jobs.Spec, runTime time.Duration, field string, amount float64) {
	u.registerJob(spec, runTime)
	u.sim.checker.jobs[spec.ID].otherFields = Submission{field: amount}
	u.sendSubmission(spec, u.sim.Now)
}
