package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxLength ends a case that takes too long.
const maxLength = 117 * time.Second

// scenarios are the cases by name. Each reports whether a rule was broken.
var scenarios = map[string]func(l *lab, trouble bool) bool{
	"avoided":  avoided,
	"replicas": replicas,
	"burst":    burst,
}

func main() {
	switch {
	case len(os.Args) == 3 && scenarios[os.Args[1]] != nil:
		os.Exit(runScenario(scenarios[os.Args[1]], os.Args[2]))
	case len(os.Args) == 5 && os.Args[1] == "hunt":
		seed, seedErr := strconv.ParseUint(os.Args[2], 10, 64)
		seconds, secondsErr := strconv.Atoi(os.Args[3])
		if seedErr == nil && secondsErr == nil {
			hunt(seed, time.Duration(seconds)*time.Second, os.Args[4])
			return
		}
	}
	fmt.Fprintln(os.Stderr, "usage: review-lab CASE RECORD | review-lab hunt SEED SECONDS RECORD")
	os.Exit(exitFailed)
}

func runScenario(scenario func(l *lab, trouble bool) bool, record string) int {
	l := newLab(record)
	defer l.end()
	time.AfterFunc(maxLength, func() { l.fail("the case took longer than %v", maxLength) })
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() { l.fail("ended by %v", <-interrupted) }()
	trouble := os.Getenv("TROUBLE") != "0"
	l.note("case", "with trouble: %v", trouble)
	if scenario(l, trouble) {
		for _, text := range l.check.allBroken() {
			fmt.Println(text)
		}
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
