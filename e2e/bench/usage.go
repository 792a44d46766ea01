package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// tick is the unit of processor time in /proc on Linux.
	tick = 10 * time.Millisecond
	// Fields of /proc/<pid>/stat, counted behind the program's name.
	fieldUser   = 11
	fieldSystem = 12
)

// processorTime is what a process has used so far, to one tick.
func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	// The name is in parentheses and may hold spaces.
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldSystem {
		return 0, Error.New("unexpected form of the process's figures")
	}
	user, errUser := strconv.ParseInt(fields[fieldUser], 10, 64)
	system, errSystem := strconv.ParseInt(fields[fieldSystem], 10, 64)
	if errUser != nil || errSystem != nil {
		return 0, Error.New("unexpected processor time")
	}
	return time.Duration(user+system) * tick, nil
}

// residentBytes is the memory that a process has in use.
func residentBytes(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	for line := range strings.Lines(string(text)) {
		value, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		kilobytes, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
		return kilobytes * 1024, Error.Wrap(err)
	}
	return 0, Error.New("no memory figure")
}

// loadAverage of the machine over a minute, or a question mark.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "?"
	}
	first, _, _ := strings.Cut(string(text), " ")
	return first
}

// usage is the processor time of processes since it was begun.
type usage struct {
	began time.Time
	pids  []int
	used  []time.Duration
}

func beginUsage(pids ...int) (*usage, error) {
	u := &usage{began: time.Now(), pids: pids}
	for _, pid := range pids {
		used, err := processorTime(pid)
		if err != nil {
			return nil, err
		}
		u.used = append(u.used, used)
	}
	return u, nil
}

// total is the processor time used since the begin by all processes.
func (u *usage) total() (time.Duration, error) {
	sum := time.Duration(0)
	for i, pid := range u.pids {
		now, err := processorTime(pid)
		if err != nil {
			return 0, err
		}
		sum += now - u.used[i]
	}
	return sum, nil
}

// cores is that processor time over the time passed.
func (u *usage) cores() (float64, error) {
	total, err := u.total()
	return total.Seconds() / time.Since(u.began).Seconds(), err
}

const (
	// longestTime is the highest that histograms record, in microseconds.
	longestTime = int64(time.Minute / time.Microsecond)
	digits      = 3
	// none stands for a time that there is not.
	none = time.Duration(-1)
)

// times is a histogram of durations; not safe for concurrent use.
type times struct {
	h *hdrhistogram.Histogram
}

func newTimes() *times {
	return &times{hdrhistogram.New(1, longestTime, digits)}
}

func (t *times) record(d time.Duration) {
	// A longer time counts as the longest.
	_ = t.h.RecordValue(min(max(d.Microseconds(), 1), longestTime))
}

// at is a percentile, or none if nothing was recorded.
func (t *times) at(percentile float64) time.Duration {
	if t.count() == 0 {
		return none
	}
	return time.Duration(t.h.ValueAtQuantile(percentile)) * time.Microsecond
}

func (t *times) max() time.Duration {
	return time.Duration(t.h.Max()) * time.Microsecond
}

func (t *times) count() int64 { return t.h.TotalCount() }
