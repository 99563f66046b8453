package wire

import "time"

// WindowNumber returns the number of the window that contains a time. The length must be positive.
func WindowNumber(t time.Time, length time.Duration) uint64 {
	return uint64(max(0, t.UnixNano()) / int64(length))
}

// WindowEnd returns the end of a window.
func WindowEnd(number uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(number+1)*int64(length))
}
