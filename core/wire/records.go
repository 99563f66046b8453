package wire

// Prefixes of the keys of the records that control distributes.
const (
	TextRecords  = "text/"
	EntryRecords = "entry/"
	RoleRecords  = "role/"
	MoveRecords  = "move/"
	ItemRecords  = "item/"
	// EvacuationRecords name the availability zones that are to get no work.
	EvacuationRecords = "evacuation/"
	// SilentRecords are entries that were taken out of the members and may still use what
	// they were granted. They are not distributed.
	SilentRecords = "silent/"
)
