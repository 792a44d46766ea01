package plan

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cicadatack/cicadatack/decide/placement"
	"github.com/cicadatack/cicadatack/state/store"
)

// paceRecord is the weight store's time as it stands in the platform's store.
type paceRecord struct {
	Format int `json:"format"`
	// ID is unique to the write, so that its writer knows it again after a lost
	// reply.
	ID              string `json:"id"`
	Writer          string `json:"writer"`
	BusyUntilMillis int64  `json:"busy_until_ms"` // Unix time
}

// PaceKey is the store's key of the weight store's time.
func PaceKey(environment string) string {
	return "/cicadatack/" + environment + "/weight-store"
}

// LoadPace reads the weight store's time; a missing record is all free.
func LoadPace(ctx context.Context, s store.Reader, key string) (placement.LoadSchedule, int64, error) {
	entry, err := s.Get(ctx, key)
	if err != nil {
		return placement.LoadSchedule{}, 0, Error.Wrap(err)
	}
	record, err := decodePace(entry.Value)
	return placement.LoadSchedule{BusyUntil: time.UnixMilli(record.BusyUntilMillis)}, entry.Revision, err
}

func decodePace(value []byte) (paceRecord, error) {
	record := paceRecord{Format: Format}
	if len(value) == 0 {
		return record, nil
	}
	if err := json.Unmarshal(value, &record); err != nil {
		return paceRecord{}, Error.Wrap(fmt.Errorf("%w: %w", ErrBadRecord, err))
	}
	if record.Format != Format {
		return paceRecord{}, Error.Wrap(fmt.Errorf("%w: format %d, this program reads %d", ErrBadRecord, record.Format, Format))
	}
	return record, nil
}

// Book gives loads their time at the weight store by compare-and-swap, so that
// those of all nodes' plans keep to its rate together. A write whose reply was lost
// and can't be read back books twice: the next load waits longer for nothing.
func Book(ctx context.Context, s store.ReadSwapper, key, writer string, now time.Time, takes []time.Duration) ([]time.Time, error) {
	for range agreeAttempts {
		pace, revision, err := LoadPace(ctx, s, key)
		if err != nil {
			return nil, err
		}
		starts, booked := pace.Reserve(now, takes)
		err = writePace(ctx, s, key, revision, writer, booked)
		if err == nil {
			return starts, nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return nil, Error.Wrap(err)
		}
	}
	return nil, Error.Wrap(store.ErrConflict)
}

func writePace(ctx context.Context, s store.ReadSwapper, key string, revision int64, writer string, pace placement.LoadSchedule) error {
	record := paceRecord{Format: Format, ID: rand.Text(), Writer: writer, BusyUntilMillis: pace.BusyUntil.UnixMilli()}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = store.SwapReadBack(ctx, s, key, revision, value, func(stored []byte) bool {
		read, err := decodePace(stored)
		return err == nil && read.ID == record.ID
	})
	return err
}
