package wire

// Prefixes of the keys of the records that control distributes.
const (
	TextRecords  = "text/"
	EntryRecords = "entry/"
	RoleRecords  = "role/"
	MoveRecords  = "move/"
	ItemRecords  = "item/"
	// EvacuationRecords name the availability zones whose targets get no requests.
	EvacuationRecords = "evacuation/"
	// SilentRecords hold unresponsive entries that were removed from the members but may
	// still use what they were granted. They are not distributed.
	SilentRecords = "silent/"
)
