package main

import (
	"fmt"
	"strings"
	"time"

	"gullrudder/internal/controller/api"
)

// minRoundedDuration is the shortest duration that is rounded to seconds; shorter ones are printed with milliseconds.
const minRoundedDuration = 10 * time.Second

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func formatCount(count *int) string {
	if count == nil {
		return "-"
	}
	return fmt.Sprint(*count)
}

func formatSeconds(seconds float64) string {
	if seconds <= 0 {
		return "-"
	}
	return (time.Duration(seconds) * time.Second).String()
}

func formatMilliseconds(milliseconds int64) string {
	duration := time.Duration(milliseconds) * time.Millisecond
	if duration < minRoundedDuration {
		return duration.String()
	}
	return duration.Round(time.Second).String()
}

// formatTimeShares lists wait reasons with their times.
func formatTimeShares(shares []api.TimeShare) string {
	var parts []string
	for _, share := range shares {
		parts = append(parts, share.Reason+" "+formatMilliseconds(share.Milliseconds))
	}
	return strings.Join(parts, ", ")
}
