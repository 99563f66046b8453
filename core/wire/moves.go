package wire

// FirstShare is the share of a move's first step, in which most bad versions show.
const FirstShare = 0.01

// FindMove returns the record of a move by its name, or, if it was renamed, by its course.
// It returns nil if there is none.
func FindMove(records map[string]*MoveRecord, name, course string) *MoveRecord {
	if r := records[name]; r.GetCourse() == course {
		return r
	}
	for _, r := range records {
		if r.GetCourse() == course {
			return r
		}
	}
	return nil
}
