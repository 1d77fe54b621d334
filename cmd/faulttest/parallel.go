package main

import "sync"

// runInParallel calls run with each index from 0 to count-1, at most limit calls at a time, and waits for all of them.
func runInParallel(count, limit int, run func(i int)) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, limit)
	for i := range count {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			run(i)
		})
	}
	wait.Wait()
}
