package jobs

import (
	"fmt"
	"strconv"
	"strings"
)

// tasksPerChunk is how many tasks' results one entry of the state service holds. Jobs with more tasks store their results in
// several chunks, since a record is written whole and has to fit into a page.
const tasksPerChunk = 2048

// MaxChunkBytes is the most JSON bytes of a chunk.
const MaxChunkBytes = tasksPerChunk/8*4/3 + 16

// chunkSeparator stands between the job ID and the number in the name of a chunk's entry.
const chunkSeparator = "#"

// Chunk has the results of some tasks of a large job: a bit for each task that is done.
type Chunk struct {
	DoneBits string `msgpack:"b" json:"b"` // an encoded bitset
}

func (j *Job) hasChunks() bool { return j.Tasks > tasksPerChunk }

// ChunkCount returns the number of chunks, 0 if the record holds the results.
func (j *Job) ChunkCount() int {
	if !j.hasChunks() {
		return 0
	}
	return (j.Tasks + tasksPerChunk - 1) / tasksPerChunk
}

// ChunkName returns the name of a chunk's entry in the state service.
func (j *Job) ChunkName(chunk int) string { return j.ID + chunkSeparator + strconv.Itoa(chunk) }

// ParseChunkName reads what ChunkName writes. ok is false for names of other entries.
func ParseChunkName(name string) (jobID string, chunk int, ok bool) {
	jobID, number, found := strings.Cut(name, chunkSeparator)
	if !found {
		return "", 0, false
	}
	chunk, err := strconv.Atoi(number)
	return jobID, chunk, err == nil
}

// chunkBits returns the part of doneBits that a chunk holds.
func (j *Job) chunkBits(chunk int) bitset {
	const wordsPerChunk = tasksPerChunk / bitsPerWord
	return j.doneBits[chunk*wordsPerChunk : min((chunk+1)*wordsPerChunk, len(j.doneBits))]
}

// TakeUnsaved returns the done tasks that no commit has taken yet, and the chunks to write for them, by entry name. There are no
// chunks if the job's record holds the results. The caller commits them and then calls RecordDurable.
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

// HasUnsaved reports whether TakeUnsaved would return any task.
func (j *Job) HasUnsaved() bool { return len(j.unsavedTasks) > 0 }

// RestoreChunk adds the results of a stored chunk.
func (j *Job) RestoreChunk(index int, chunk Chunk) error {
	if index < 0 || index >= j.ChunkCount() {
		return fmt.Errorf("job %s: chunk %d is out of range", j.ID, index)
	}
	return j.restoreBits(j.chunkBits(index), chunk.DoneBits)
}
