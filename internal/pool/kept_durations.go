package pool

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/knowledge"
)

// durationSection is the section of kept knowledge that holds the duration models that are not in head
// rows. Owners of earlier versions read head rows only and learn the other models anew.
type durationSection struct{ pool *Pool }

// durationDocument is the stored form of the models.
type durationDocument struct {
	Queues map[string]json.RawMessage `json:"queues"`
}

const (
	// maxDurationsBytes bounds the section.
	maxDurationsBytes = knowledge.MaxSectionBytes
	// leastRoomBytes is the room from which a further model is likely to fit.
	leastRoomBytes = 100
)

// compactModel is the short form of a model: its weight, x, y, xx, xy and squared errors.
type compactModel [6]float64

// compactDigits is the number of significant digits in compact models.
const compactDigits = 6

// MarshalJSON implements json.Marshaler.
func (m compactModel) MarshalJSON() ([]byte, error) {
	document := []byte{'['}
	for i, sum := range m {
		if i > 0 {
			document = append(document, ',')
		}
		document = strconv.AppendFloat(document, sum, 'g', compactDigits, 64)
	}
	return append(document, ']'), nil
}

func (d *durationModel) compact() compactModel {
	return compactModel{d.Weight, d.X, d.Y, d.XX, d.XY, d.SquaredErrors}
}

func (m compactModel) model() *durationModel {
	return &durationModel{Weight: m[0], X: m[1], Y: m[2], XX: m[3], XY: m[4], SquaredErrors: m[5]}
}

// Name returns the name of the section.
func (s *durationSection) Name() string { return "durations" }

// Export returns the models that are likeliest to be needed of those that are not in head rows.
func (s *durationSection) Export(time.Time) (json.RawMessage, error) {
	document := durationDocument{Queues: map[string]json.RawMessage{}}
	room := maxDurationsBytes - len(`{"queues":{}}`)
	for _, queue := range s.pool.durations.queuesOutsideHead() {
		if room < leastRoomBytes {
			break
		}
		model := mustEncode(s.pool.durations.of(queue).compact())
		if bytes := len(mustEncode(queue)) + len(":,") + len(model); bytes <= room {
			room -= bytes
			document.Queues[queue] = model
		}
	}
	if len(document.Queues) == 0 {
		return nil, nil
	}
	return json.Marshal(document)
}

// Import merges the models that an earlier owner exported.
func (s *durationSection) Import(encoded json.RawMessage, _ time.Time, _ time.Duration) error {
	var document durationDocument
	if err := json.Unmarshal(encoded, &document); err != nil {
		return errors.Wrap(err, "durations")
	}
	models := make(map[string]*durationModel, len(document.Queues))
	for queue, encoded := range document.Queues {
		var stored compactModel
		if err := json.Unmarshal(encoded, &stored); err != nil {
			return errors.Wrap(err, "durations")
		}
		models[queue] = stored.model()
	}
	s.pool.mergeDurations(models)
	return nil
}
