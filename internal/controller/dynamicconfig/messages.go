package dynamicconfig

import "gullrudder/internal/config"

// Change is one line of the record of changes: who changed what, and when.
type Change struct {
	Version   int      `msgpack:"v" json:"version"`
	AppliedAt int64    `msgpack:"t" json:"at"` // seconds since 1970
	Author    string   `msgpack:"w" json:"who"`
	Details   []string `msgpack:"c" json:"what"` // one for each option that changed
}

// View is what `gullrudder settings` shows.
type View struct {
	Version int                  `msgpack:"version" json:"version"` // 0: the controllers' own files are in effect
	Values  []config.OptionValue `msgpack:"values" json:"values"`
	Changes []Change             `msgpack:"changes" json:"changes"` // the last ones, newest first
}

// ChangeRequest is an operator's request for other options.
type ChangeRequest struct {
	Author string `msgpack:"who"`
	Text   string `msgpack:"text"` // XML, as in the controllers' files
}
