// Package eventloop holds the code that the event loops of the controllers and of a site's processes share. Each loop waits for one input,
// takes the others that have arrived meanwhile, and steps its state through all of them. The package holds no state.
package eventloop

// Drain appends the queued inputs to a batch, up to the batch's capacity. It does not block.
func Drain[T any](queue <-chan T, batch []T) []T {
	for len(batch) < cap(batch) {
		select {
		case input := <-queue:
			batch = append(batch, input)
		default:
			return batch
		}
	}
	return batch
}
