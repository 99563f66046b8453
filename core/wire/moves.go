package wire

// MaxFirstShare is the largest share of traffic that a move shifts in its first step. It is small
// because most bad versions fail in that step.
const MaxFirstShare = 0.01

// FindMove returns the record of the move with the given name and course, or, if the move was
// renamed, any record with that course. It returns nil if there is none.
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
