package jobs

import (
	"fmt"
	"strconv"
	"strings"
)

// tasksPerChunk is the number of tasks whose results fit into one entry of the state service. Jobs with more tasks store their
// results in several chunks, since a record is always written as a whole and has to fit into a page.
const tasksPerChunk = 2048

// MaxChunkBytes is the maximum size of a chunk as JSON, in bytes.
const MaxChunkBytes = tasksPerChunk/8*4/3 + 16

// chunkSeparator separates the job ID from the chunk number in the name of a chunk's entry.
const chunkSeparator = "#"

// Chunk holds the results of tasksPerChunk consecutive tasks of a large job. A bit is set if the task is done.
type Chunk struct {
	DoneBits string `msgpack:"b" json:"b"` // an encoded bitset
}

func (j *Job) hasChunks() bool { return j.Tasks > tasksPerChunk }

// ChunkCount returns the number of chunks of the job; 0 if the job's record holds the results.
func (j *Job) ChunkCount() int {
	if !j.hasChunks() {
		return 0
	}
	return (j.Tasks + tasksPerChunk - 1) / tasksPerChunk
}

// ChunkName returns the name of a chunk's entry in the state service. Chunks are numbered from 0.
func (j *Job) ChunkName(chunk int) string { return j.ID + chunkSeparator + strconv.Itoa(chunk) }

// ParseChunkName parses a name that ChunkName returned. ok is false for the names of other entries.
func ParseChunkName(name string) (jobID string, chunk int, ok bool) {
	jobID, number, found := strings.Cut(name, chunkSeparator)
	if !found {
		return "", 0, false
	}
	chunk, err := strconv.Atoi(number)
	return jobID, chunk, err == nil
}

// chunkBits returns the part of doneBits that a chunk holds. It shares the memory of doneBits.
func (j *Job) chunkBits(chunk int) bitset {
	const wordsPerChunk = tasksPerChunk / bitsPerWord
	return j.doneBits[chunk*wordsPerChunk : min((chunk+1)*wordsPerChunk, len(j.doneBits))]
}

// TakeUnsaved returns the tasks that were done since the last call, and the chunks to write for them, by entry name. chunks is
// nil if the job's record holds the results. The caller commits the results and then calls RecordDurable.
func (j *Job) TakeUnsaved() (tasks []int, chunks map[string]Chunk) {
	tasks, j.unsavedTasks = j.unsavedTasks, nil
	if !j.hasChunks() || len(tasks) == 0 {
		return tasks, nil
	}
	chunks = map[string]Chunk{}
	for _, task := range tasks {
		chunk := task / tasksPerChunk
		chunks[j.ChunkName(chunk)] = Chunk{DoneBits: j.chunkBits(chunk).encode()}
	}
	return tasks, chunks
}

// HasUnsaved reports whether TakeUnsaved would return any tasks.
func (j *Job) HasUnsaved() bool { return len(j.unsavedTasks) > 0 }

// RestoreChunk adds the results of a stored chunk to the job. They count as durable.
func (j *Job) RestoreChunk(index int, chunk Chunk) error {
	if index < 0 || index >= j.ChunkCount() {
		return fmt.Errorf("job %s: chunk %d is out of range: the job has %d chunks", j.ID, index, j.ChunkCount())
	}
	return j.restoreBits(j.chunkBits(index), chunk.DoneBits)
}
