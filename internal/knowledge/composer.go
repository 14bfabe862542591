package knowledge

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"
)

// Comparer is implemented by sections that can tell material changes from others. For sections that
// do not implement it each change of the document is material, at most once in plainInterval.
type Comparer interface {
	// MateriallyChanged reports whether the next owner would decide differently by the current
	// document than by the one that was written the given time ago.
	MateriallyChanged(written, current json.RawMessage, elapsed time.Duration) bool
}

// plainInterval is the minimum age of a written document that is replaced because of a section that
// is no Comparer.
const plainInterval = 10 * time.Second

// Composer builds the documents of a row from its sections, and passes the documents of a row that
// was read to its sections.
type Composer struct {
	sections []Section
	// MaxRowBytes bounds the row, in addition to the constant of that name.
	MaxRowBytes int
	// exported holds the last successful export of each section, and written the one in the last
	// written row.
	exported, written map[string]export
}

// export is a section as of a time.
type export struct {
	document json.RawMessage
	at       time.Time
}

// Snapshot is the content of a row before it is written.
type Snapshot struct {
	exports map[string]export
	// Omitted names the sections that failed to export or did not fit.
	Omitted []string
}

// NewComposer returns a composer. The sections are listed by importance, most important first.
func NewComposer(sections ...Section) *Composer {
	return &Composer{sections: sections, MaxRowBytes: MaxRowBytes, exported: map[string]export{}, written: map[string]export{}}
}

// Snapshot exports all sections. A section that fails to export keeps its last document. Sections
// over their budget, or for which the row has no room, are left out.
func (c *Composer) Snapshot(now time.Time) Snapshot {
	snapshot := Snapshot{exports: map[string]export{}}
	room := min(MaxRowBytes, c.MaxRowBytes) - headerBytes
	for _, section := range c.sections {
		name := section.Name()
		current, ok := c.export(section, now)
		size := len(current.document) + len(name) + sectionBytes
		switch {
		case !ok || len(current.document) > MaxSectionBytes || size > room:
			snapshot.Omitted = append(snapshot.Omitted, name)
		case current.document != nil:
			snapshot.exports[name] = current
			room -= size
		}
	}
	return snapshot
}

const (
	// headerBytes is an upper bound on the size of a row without sections, and sectionBytes on what
	// a section adds to its name and its document.
	headerBytes  = 200
	sectionBytes = 60
)

// export exports a section, or returns its last document if that fails.
func (c *Composer) export(section Section, now time.Time) (export, bool) {
	document, err := section.Export(now)
	if err != nil || document != nil && !json.Valid(document) {
		last, found := c.exported[section.Name()]
		return last, found
	}
	current := export{document: document, at: now}
	c.exported[section.Name()] = current
	return current, true
}

// Changed reports whether decisions by the snapshot differ materially from those by the row that
// was written last.
func (c *Composer) Changed(snapshot Snapshot) bool {
	return slices.ContainsFunc(c.sections, func(section Section) bool { return c.sectionChanged(section, snapshot) })
}

func (c *Composer) sectionChanged(section Section, snapshot Snapshot) bool {
	name := section.Name()
	current, found := snapshot.exports[name]
	written, wasWritten := c.written[name]
	if !found || !wasWritten {
		return found != wasWritten && !slices.Contains(snapshot.Omitted, name)
	}
	if bytes.Equal(written.document, current.document) {
		return false
	}
	elapsed := current.at.Sub(written.at)
	if comparer, ok := section.(Comparer); ok {
		return comparer.MateriallyChanged(written.document, current.document, elapsed)
	}
	return elapsed >= plainInterval
}

// Bytes returns an upper bound on the size of the row for a snapshot.
func (s Snapshot) Bytes() int {
	bytes := headerBytes
	for name, exported := range s.exports {
		bytes += len(exported.document) + len(name) + sectionBytes
	}
	return bytes
}

// Row returns the row for a snapshot.
func (s Snapshot) Row(token int64, serial int, now, timeOfDay time.Time) Row {
	row := Row{Format: FormatVersion, Token: token, Serial: serial, WrittenMillis: timeOfDay.UnixMilli(), Sections: map[string]StoredSection{}}
	for name, exported := range s.exports {
		row.Sections[name] = StoredSection{AgeMillis: now.Sub(exported.at).Milliseconds(), Document: exported.document}
	}
	return row
}

// MarkWritten records that a snapshot is the present row.
func (c *Composer) MarkWritten(snapshot Snapshot) { c.written = snapshot.exports }

// Imported tells what became of a row's sections.
type Imported struct {
	// Known and Refused name the sections that were merged and refused, sorted by name. Sections of
	// other names are ignored.
	Known, Refused []string
	// Age is the age of the oldest merged section.
	Age time.Duration
}

// Import passes the sections of a row to the sections of this composer. now is the time of the
// owner's loop and timeOfDay that of its wall clock.
func (c *Composer) Import(row *Row, now, timeOfDay time.Time) Imported {
	var result Imported
	for _, section := range c.sections {
		stored, found := row.Sections[section.Name()]
		if !found {
			continue
		}
		age := row.Age(stored, timeOfDay)
		if err := section.Import(stored.Document, now, age); err != nil {
			result.Refused = append(result.Refused, section.Name())
			continue
		}
		result.Known = append(result.Known, section.Name())
		result.Age = max(result.Age, age)
	}
	slices.Sort(result.Known)
	slices.Sort(result.Refused)
	return result
}
