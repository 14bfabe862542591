package knowledge

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeSection keeps one document.
type fakeSection struct {
	name     string
	document string
	failing  bool
	imported string
	age      time.Duration
}

var errFake = errors.New("section fails")

func (f *fakeSection) Name() string { return f.name }

func (f *fakeSection) Export(time.Time) (json.RawMessage, error) {
	if f.failing {
		return nil, errFake
	}
	if f.document == "" {
		return nil, nil
	}
	return json.RawMessage(f.document), nil
}

func (f *fakeSection) Import(document json.RawMessage, _ time.Time, age time.Duration) error {
	if f.failing {
		return errFake
	}
	f.imported, f.age = string(document), age
	return nil
}

// comparingSection ignores all changes but those of the first byte of a string.
type comparingSection struct{ fakeSection }

func (c *comparingSection) MateriallyChanged(written, current json.RawMessage, _ time.Duration) bool {
	return written[1] != current[1]
}

// encodeSections writes a row with the sections' documents.
func encodeSections(t *testing.T, composer *Composer, now time.Time) []byte {
	row := composer.Snapshot(now).Row(7, 3, now, now)
	value, err := row.Encode()
	require.NoError(t, err)
	return value
}

func TestRowRoundTrip(t *testing.T) {
	speeds, losses := &fakeSection{name: "speeds", document: `{"a":1}`}, &fakeSection{name: "losses", document: `[2]`}
	value := encodeSections(t, NewComposer(losses, speeds), epoch)
	row, err := Decode(value)
	require.NoError(t, err)
	require.Equal(t, int64(7), row.Token)
	require.Equal(t, 3, row.Serial)

	nextSpeeds, nextLosses := &fakeSection{name: "speeds"}, &fakeSection{name: "losses"}
	loopTime := epoch.Add(99 * time.Hour)
	imported := NewComposer(nextSpeeds, nextLosses).Import(&row, loopTime, epoch.Add(3*time.Second))
	require.Equal(t, Imported{Known: []string{"losses", "speeds"}, Age: 3 * time.Second}, imported)
	require.Equal(t, `{"a":1}`, nextSpeeds.imported)
	require.Equal(t, `[2]`, nextLosses.imported)
	require.Equal(t, 3*time.Second, nextLosses.age)
}

// TestRowsOfOtherWriters: each damaged row costs what it holds and nothing else.
func TestRowsOfOtherWriters(t *testing.T) {
	valid := `{"format":1,"token":7,"serial":1,"written_ms":1767225600000,"sections":{"speeds":{"age_ms":5,"document":{}}}}`
	cases := map[string]struct {
		value string
		err   error
		token int64
		// sections is the number of sections that are left.
		sections int
	}{
		"valid":                  {value: valid, token: 7, sections: 1},
		"empty":                  {value: ``, err: ErrUnreadable},
		"null":                   {value: `null`, err: ErrUnreadable},
		"no document":            {value: "\x00\xff", err: ErrUnreadable},
		"truncated":              {value: valid[:len(valid)-10], err: ErrUnreadable},
		"no format":              {value: `{"token":7,"written_ms":5}`, err: ErrUnreadable},
		"no token":               {value: `{"format":1,"written_ms":5}`, err: ErrUnreadable},
		"no time":                {value: `{"format":1,"token":7}`, err: ErrUnreadable},
		"negative time":          {value: `{"format":1,"token":7,"written_ms":-5}`, err: ErrUnreadable},
		"token of another type":  {value: `{"format":1,"token":"7","written_ms":5}`, err: ErrUnreadable},
		"sections are a list":    {value: `{"format":1,"token":7,"written_ms":5,"sections":[]}`, err: ErrUnreadable},
		"newer format":           {value: `{"format":2,"token":9,"serial":4,"written_ms":"late","sections":[]}`, err: ErrNewerFormat, token: 9},
		"too large":              {value: strings.Repeat(" ", MaxRowBytes) + valid, err: ErrTooLarge, token: 7},
		"too large, truncated":   {value: valid[:len(valid)-10] + strings.Repeat(" ", MaxRowBytes), err: ErrTooLarge},
		"too large, no format":   {value: `{"token":7}` + strings.Repeat(" ", MaxRowBytes), err: ErrTooLarge},
		"unknown fields":         {value: strings.Replace(valid, `{"format"`, `{"more":[1],"format"`, 1), token: 7, sections: 1},
		"unknown section":        {value: strings.Replace(valid, `"speeds"`, `"weather"`, 1), token: 7, sections: 1},
		"negative age":           {value: strings.Replace(valid, `"age_ms":5`, `"age_ms":-5`, 1), token: 7},
		"huge age":               {value: strings.Replace(valid, `"age_ms":5`, `"age_ms":9223372036854775807`, 1), token: 7},
		"section too large":      {value: strings.Replace(valid, `{}`, `"`+strings.Repeat("x", MaxSectionBytes)+`"`, 1), token: 7},
		"section without a body": {value: strings.Replace(valid, `,"document":{}`, ``, 1), token: 7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			row, err := Decode([]byte(c.value))
			require.ErrorIs(t, err, c.err)
			require.Equal(t, c.token, row.Token)
			require.Len(t, row.Sections, c.sections)
		})
	}
}

func TestManySectionsAreUnreadable(t *testing.T) {
	row := Row{Format: 1, Token: 1, WrittenMillis: 1, Sections: map[string]StoredSection{}}
	for i := range maxSections + 1 {
		row.Sections[strings.Repeat("x", i)] = StoredSection{Document: json.RawMessage("1")}
	}
	value, err := row.Encode()
	require.NoError(t, err)
	_, err = Decode(value)
	require.ErrorIs(t, err, ErrUnreadable)
}

// TestAgesSurviveClocksOfTwoNodes: a reader whose clock is behind does not take a row for one of the
// future.
func TestAgesSurviveClocksOfTwoNodes(t *testing.T) {
	row := Row{WrittenMillis: epoch.UnixMilli()}
	section := StoredSection{AgeMillis: 500}
	require.Equal(t, 2500*time.Millisecond, row.Age(section, epoch.Add(2*time.Second)))
	require.Equal(t, 500*time.Millisecond, row.Age(section, epoch.Add(-time.Second)))
}

func TestRefusedAndUnknownSections(t *testing.T) {
	value := encodeSections(t, NewComposer(&fakeSection{name: "a", document: "1"}, &fakeSection{name: "b", document: "2"}, &fakeSection{name: "c", document: "3"}), epoch)
	row, err := Decode(value)
	require.NoError(t, err)
	imported := NewComposer(&fakeSection{name: "a", failing: true}, &fakeSection{name: "b"}).Import(&row, epoch, epoch)
	require.Equal(t, Imported{Known: []string{"b"}, Refused: []string{"a"}}, imported)
}

// TestBudgets: a section over its budget is left out, and so are the last ones when the row is full.
func TestBudgets(t *testing.T) {
	sized := func(name string, bytes int) *fakeSection {
		return &fakeSection{name: name, document: `"` + strings.Repeat("x", bytes-2) + `"`}
	}
	composer := NewComposer(sized("first", MaxSectionBytes), sized("huge", MaxSectionBytes+1), sized("second", MaxSectionBytes), sized("third", 10_000), sized("small", 100))
	snapshot := composer.Snapshot(epoch)
	require.Equal(t, []string{"huge", "third"}, snapshot.Omitted)
	row := snapshot.Row(1<<62, 1<<30, epoch.Add(maxAge), epoch)
	value, err := row.Encode()
	require.NoError(t, err)
	require.LessOrEqual(t, len(value), MaxRowBytes)
	require.Len(t, row.Sections, 3)
}

// TestFailingSectionKeepsItsLastDocument: the row tells how old the document is.
func TestFailingSectionKeepsItsLastDocument(t *testing.T) {
	section := &fakeSection{name: "a", failing: true}
	composer := NewComposer(section)
	require.Equal(t, []string{"a"}, composer.Snapshot(epoch).Omitted)
	section.failing, section.document = false, "1"
	composer.Snapshot(epoch)
	section.failing = true
	row := composer.Snapshot(epoch.Add(time.Second)).Row(1, 1, epoch.Add(time.Second), epoch)
	require.Equal(t, StoredSection{AgeMillis: 1000, Document: json.RawMessage("1")}, row.Sections["a"])
	section.failing, section.document = false, "no JSON"
	row = composer.Snapshot(epoch.Add(2*time.Second)).Row(1, 1, epoch.Add(2*time.Second), epoch)
	require.Equal(t, StoredSection{AgeMillis: 2000, Document: json.RawMessage("1")}, row.Sections["a"])
}

func TestChanged(t *testing.T) {
	plain := &fakeSection{name: "plain", document: "1"}
	comparing := &comparingSection{fakeSection{name: "comparing", document: `"a1"`}}
	composer := NewComposer(plain, comparing)
	now := epoch
	snapshot := func(after time.Duration) Snapshot {
		now = now.Add(after)
		return composer.Snapshot(now)
	}
	first := snapshot(0)
	require.True(t, composer.Changed(first), "nothing is written")
	composer.MarkWritten(first)
	require.False(t, composer.Changed(snapshot(time.Hour)), "same documents")
	comparing.document = `"a2"`
	require.False(t, composer.Changed(snapshot(0)), "not material")
	comparing.document = `"b2"`
	require.True(t, composer.Changed(snapshot(0)))
	composer.MarkWritten(snapshot(0))
	plain.document = "2"
	require.False(t, composer.Changed(snapshot(plainInterval-1)), "too soon for a section that compares nothing")
	require.True(t, composer.Changed(snapshot(1)))
	composer.MarkWritten(snapshot(0))
	plain.document = ""
	require.True(t, composer.Changed(snapshot(0)), "a section has become empty")
}

func TestWriteDue(t *testing.T) {
	usual := WriteState{Read: true, Written: true, Changed: true, Attempted: true, SinceTakeover: time.Minute, SinceAttempt: MinWriteInterval, SinceAnswer: time.Second, SinceConfirmation: time.Second}
	cases := map[string]struct {
		change func(*WriteState)
		want   WriteDecision
	}{
		"changed":                       {func(*WriteState) {}, Write},
		"nothing new":                   {func(s *WriteState) { s.Changed = false }, NothingNew},
		"nothing new for an hour":       {func(s *WriteState) { s.Changed = false; s.SinceAttempt = time.Hour }, NothingNew},
		"nothing new at a release":      {func(s *WriteState) { s.Changed = false; s.Releasing = true }, NothingNew},
		"too soon":                      {func(s *WriteState) { s.SinceAttempt-- }, WaitForInterval},
		"too soon but releasing":        {func(s *WriteState) { s.SinceAttempt--; s.Releasing = true }, Write},
		"in flight at a release":        {func(s *WriteState) { s.InFlight = true; s.Releasing = true }, WaitForAnswer},
		"row not read":                  {func(s *WriteState) { s.Read = false }, WaitForRead},
		"row of a newer owner":          {func(s *WriteState) { s.NewerOwner = true; s.Releasing = true }, LeaveToNewer},
		"store away":                    {func(s *WriteState) { s.SinceAnswer = MaxAnswerAge + 1 }, WaitForStore},
		"store away at a release":       {func(s *WriteState) { s.SinceAnswer = MaxAnswerAge + 1; s.Releasing = true }, WaitForStore},
		"ownership long unconfirmed":    {func(s *WriteState) { s.SinceConfirmation = MaxConfirmationAge + 1 }, WaitForFastStore},
		"last write was slow":           {func(s *WriteState) { s.LastWriteTook = SlowWrite + 1; s.SinceAttempt = SlowWritePause }, WaitForFastStore},
		"a slow write long ago":         {func(s *WriteState) { s.LastWriteTook = SlowWrite + 1; s.SinceAttempt = 2 * SlowWritePause }, Write},
		"just taken over":               {func(s *WriteState) { s.Written = false; s.Attempted = false; s.SinceTakeover = FirstWriteDelay - 1 }, WaitAfterStart},
		"first row, nothing learned":    {func(s *WriteState) { s.Written = false; s.Changed = false; s.Attempted = false; s.SinceAttempt = 0 }, Write},
		"released, nothing learned":     {func(s *WriteState) { s.Written = false; s.Changed = false; s.Releasing = true }, NothingNew},
		"large row":                     {func(s *WriteState) { s.Bytes = MaxReleaseBytes + 1 }, Write},
		"large row at a release":        {func(s *WriteState) { s.Bytes = MaxReleaseBytes + 1; s.Releasing = true }, TooLargeForRelease},
		"last write slow at a release":  {func(s *WriteState) { s.LastWriteTook = SlowWrite + 1; s.Releasing = true }, WaitForFastStore},
		"released soon after the start": {func(s *WriteState) { s.Written = false; s.SinceTakeover = 0; s.Releasing = true }, Write},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			state := usual
			c.change(&state)
			require.Equal(t, c.want, WriteDue(&state))
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"format":1,"token":7,"serial":1,"written_ms":1767225600000,"sections":{"speeds":{"age_ms":5,"document":{"machines":{"w":[-470,60]},"work":[1.5,20]}}}}`))
	f.Add([]byte(`{"format":2,"token":9,"serial":4,"sections":[]}`))
	f.Add([]byte(`{"format":1,"token":-1}`))
	f.Add([]byte(`{"format":1,"token":7,"written_ms":9223372036854775807,"sections":{"":{"age_ms":9223372036854775807,"document":null}}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := Decode(value)
		if err != nil {
			require.Empty(t, row.Sections)
			return
		}
		for _, section := range row.Sections {
			require.GreaterOrEqual(t, row.Age(section, epoch), time.Duration(0))
		}
		encoded, err := row.Encode()
		require.NoError(t, err)
		if len(encoded) > MaxRowBytes {
			return
		}
		again, err := Decode(encoded)
		require.NoError(t, err)
		require.Equal(t, row.Token, again.Token)
	})
}
