package dynamicconfig

import "gullrudder/internal/config"

// Change is one entry of the record of changes: who changed which options, and when.
type Change struct {
	Version   int      `msgpack:"v" json:"version"`
	AppliedAt int64    `msgpack:"t" json:"at"` // Unix time in seconds
	Author    string   `msgpack:"w" json:"who"`
	Details   []string `msgpack:"c" json:"what"` // one for each changed option
}

// View is what `gullrudder settings` shows.
type View struct {
	Version int                  `msgpack:"version" json:"version"` // of the last change; 0: the controllers' own files are in effect
	Values  []config.OptionValue `msgpack:"values" json:"values"`
	Changes []Change             `msgpack:"changes" json:"changes"` // the newest first; old ones are dropped
}

// ChangeRequest is an operator's request to change the options.
type ChangeRequest struct {
	Author string `msgpack:"who"`
	Text   string `msgpack:"text"` // XML, as in the controllers' files
}
