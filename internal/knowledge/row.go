package knowledge

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// FormatVersion is the version of the row's format. A row of a higher version is not read, except
// for its format, token and serial, which keep their meaning in all versions.
const FormatVersion = 1

const (
	// MaxRowBytes bounds the row in all versions of the format. The store's limit is 65,536 bytes.
	MaxRowBytes = 60_000
	// MaxSectionBytes is the budget of one section. A section that exceeds it is left out. Sections
	// therefore drop their least important content themselves.
	MaxSectionBytes = 28_000
	// maxSections bounds the sections that are read.
	maxSections = 64
	// maxAge is the largest plausible age of a section at the write.
	maxAge = 365 * 24 * time.Hour
)

// Reasons why a row or a section is not read.
var (
	ErrUnreadable  = errors.New("knowledge: row is unreadable")
	ErrNewerFormat = errors.New("knowledge: row has a newer format")
	ErrTooLarge    = errors.New("knowledge: row is too large")
)

// Row is the stored row.
type Row struct {
	Format int `json:"format"`
	// Token is the writer's fencing token. Serial numbers the rows of one writer.
	Token  int64 `json:"token"`
	Serial int   `json:"serial"`
	// WrittenMillis is the Unix time of the write in milliseconds on the writer's wall clock.
	WrittenMillis int64                    `json:"written_ms"`
	Sections      map[string]StoredSection `json:"sections,omitempty"`
}

// StoredSection is one section of a row.
type StoredSection struct {
	// AgeMillis is the time from the section's export to the write of the row.
	AgeMillis int64           `json:"age_ms"`
	Document  json.RawMessage `json:"document"`
}

// Age returns the time since the section's export. readAt is the time of day.
func (r *Row) Age(section StoredSection, readAt time.Time) time.Duration {
	sinceWrite := max(0, readAt.Sub(time.UnixMilli(r.WrittenMillis)))
	return sinceWrite + time.Duration(section.AgeMillis)*time.Millisecond
}

// Encode returns the stored form of the row.
func (r *Row) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode parses a stored row. If the error is ErrNewerFormat, the result holds the token and the
// serial. If it is ErrTooLarge, the result holds them if they can be read. Implausible sections are
// left out.
func Decode(value []byte) (Row, error) {
	header, err := decodeHeader(value)
	switch {
	case len(value) > MaxRowBytes:
		return header, ErrTooLarge
	case err != nil:
		return Row{}, err
	case header.Format > FormatVersion:
		return header, ErrNewerFormat
	}
	var row Row
	if err := json.Unmarshal(value, &row); err != nil || row.WrittenMillis <= 0 || len(row.Sections) > maxSections {
		return Row{}, ErrUnreadable
	}
	for name, section := range row.Sections {
		if !section.plausible() {
			delete(row.Sections, name)
		}
	}
	return row, nil
}

// decodeHeader parses the fields that all versions of the format have.
func decodeHeader(value []byte) (Row, error) {
	var header struct {
		Format int   `json:"format"`
		Token  int64 `json:"token"`
		Serial int   `json:"serial"`
	}
	if err := json.Unmarshal(value, &header); err != nil || header.Format < 1 || header.Token < 1 {
		return Row{}, ErrUnreadable
	}
	return Row{Format: header.Format, Token: header.Token, Serial: header.Serial}, nil
}

func (s *StoredSection) plausible() bool {
	return s.AgeMillis >= 0 && s.AgeMillis <= maxAge.Milliseconds() && len(s.Document) > 0 && len(s.Document) <= MaxSectionBytes
}
