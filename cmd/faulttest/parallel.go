package main

import "sync"

// runInParallel calls run for every index below count, at most jobs at a time, and waits for all.
func runInParallel(count, jobs int, run func(i int)) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, jobs)
	for i := range count {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			run(i)
		})
	}
	wait.Wait()
}
