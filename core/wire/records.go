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
)
