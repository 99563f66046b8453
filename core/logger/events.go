package logger

import "github.com/phuslu/log"

// Event is one kind of log line. Once assigned, a number keeps its meaning.
type Event struct {
	Number  int
	Name    string
	Level   log.Level
	Meaning string
}

// The events of all processes. The hundreds of a number give the subject: 1xx process, 2xx
// replication, 3xx configuration, 4xx entries and roles, 5xx requests, 6xx dispatch and moves,
// 7xx limits, 8xx duties, 9xx invariants.
var (
	ProcessStarted     = Event{101, "processStarted", log.InfoLevel, "The process listens on all its addresses."}
	ProcessStopping    = Event{102, "processStopping", log.InfoLevel, "The process was asked to stop and drains its connections."}
	ProcessStopped     = Event{103, "processStopped", log.InfoLevel, "The process finished its last request and exits."}
	ListenerFailed     = Event{104, "listenerFailed", log.ErrorLevel, "A listener ended for a reason other than shutdown."}
	LoopFailed         = Event{105, "loopFailed", log.ErrorLevel, "A background loop ended with an error; the process stops."}
	AcceptFailed       = Event{106, "acceptFailed", log.WarnLevel, "A connection could not be accepted; the listener continues."}
	HandlerPanicked    = Event{107, "handlerPanicked", log.ErrorLevel, "The handler of a request panicked; its connection was closed."}
	LinesDropped       = Event{108, "linesDropped", log.WarnLevel, "Log lines were dropped because the reader of the log is too slow."}
	SettingsReloaded   = Event{109, "settingsReloaded", log.InfoLevel, "The settings were read again; changes that need no restart are in force."}
	ReloadRefused      = Event{110, "reloadRefused", log.WarnLevel, "The changed settings are invalid or unreadable; those in force are kept."}
	LeaderElected      = Event{201, "leaderElected", log.InfoLevel, "This control member became leader of a term."}
	LeaderLost         = Event{202, "leaderLost", log.WarnLevel, "This control member is no longer the leader."}
	StorageFailed      = Event{203, "storageFailed", log.ErrorLevel, "A write to the data folder failed; nothing is acknowledged until a write succeeds."}
	TornTailCut        = Event{204, "tornTailCut", log.WarnLevel, "An incomplete last write was truncated from the log at startup."}
	SnapshotSaved      = Event{205, "snapshotSaved", log.InfoLevel, "A snapshot was saved and the log before it was discarded."}
	MembershipChanged  = Event{206, "membershipChanged", log.InfoLevel, "The control members changed."}
	PeerUnreachable    = Event{207, "peerUnreachable", log.WarnLevel, "A control member does not respond."}
	PeerReachable      = Event{208, "peerReachable", log.InfoLevel, "A control member responds again."}
	SnapshotInstalled  = Event{209, "snapshotInstalled", log.InfoLevel, "A snapshot from the leader replaced the state."}
	MemberJoins        = Event{210, "memberJoins", log.InfoLevel, "A control member was added as a learner; it is promoted once it has caught up."}
	OutsideQuorum      = Event{211, "outsideQuorum", log.WarnLevel, "This control member is not part of a quorum and could not form or join one yet."}
	TextAccepted       = Event{301, "textAccepted", log.InfoLevel, "A text was accepted under its revision."}
	TextRefused        = Event{302, "textRefused", log.WarnLevel, "A submitted text is invalid, or its revision is not the next one."}
	ConfigurationInUse = Event{303, "configurationInUse", log.InfoLevel, "This entry uses a new configuration."}
	ConfigurationBad   = Event{304, "configurationBad", log.ErrorLevel, "A received configuration does not compile; the one in use is kept."}
	LeaseLapsed        = Event{305, "leaseLapsed", log.WarnLevel, "No fresh response from control arrived within the lease; requests with a key are refused."}
	LeaseRenewed       = Event{306, "leaseRenewed", log.InfoLevel, "Fresh responses from control arrive again; requests with a key are served."}
	ControlUnreachable = Event{307, "controlUnreachable", log.WarnLevel, "A control member does not respond to this entry."}
	OrderAccepted      = Event{311, "orderAccepted", log.InfoLevel, "An order is committed: a change of items, an evacuation or a move."}
	OrderRefused       = Event{312, "orderRefused", log.WarnLevel, "An order is invalid; no part of it is in force."}
	OrderUnknown       = Event{313, "orderUnknown", log.WarnLevel, "An order may or may not be committed; its sender got an error and can send it again."}
	AllocationInUse    = Event{314, "allocationInUse", log.InfoLevel, "The fractions in which this entry splits its region's requests over the regions changed."}
	EvacuationsInForce = Event{315, "evacuationsInForce", log.InfoLevel, "The availability zones whose targets get no requests from this entry changed."}
	ListReachable      = Event{321, "listReachable", log.InfoLevel, "The platform's list of targets can be read again."}
	ListUnreachable    = Event{322, "listUnreachable", log.WarnLevel, "The platform's list of targets cannot be read; the last one read stays in use."}
	ListEntriesSkipped = Event{323, "listEntriesSkipped", log.WarnLevel, "Some targets of the platform's list are invalid and were skipped; the others are used."}
	TargetListed       = Event{324, "targetListed", log.InfoLevel, "A target was added to the platform's list, changed or removed."}
	OrderOutdated      = Event{325, "orderOutdated", log.WarnLevel, "An order was not carried out, since others for the same service or zone followed the one that its sender knew of."}
	EntryJoined        = Event{401, "entryJoined", log.InfoLevel, "An entry joined or rejoined."}
	EntryRemoved       = Event{402, "entryRemoved", log.WarnLevel, "An entry was removed because it was silent past its lease or left."}
	RoleAssigned       = Event{403, "roleAssigned", log.InfoLevel, "A role was assigned to an entry under a new epoch."}
	EntryStateChanged  = Event{404, "entryStateChanged", log.InfoLevel, "An entry leaves, is isolated from all targets or is live again; the field shows which."}
	RequestCut         = Event{501, "requestCut", log.WarnLevel, "A response broke off partway; the caller's connection was closed."}
	RequestServed      = Event{503, "requestServed", log.InfoLevel, "A target responded to a request; the fields show how it was routed."}
	RequestRefused     = Event{504, "requestRefused", log.WarnLevel, "A request was refused; the fields show the step, the reason and when to retry."}
	RequestFailed      = Event{505, "requestFailed", log.WarnLevel, "A request failed or may have run; the fields show where it was sent."}
	RequestUnknown     = Event{502, "requestUnknown", log.WarnLevel, "A request may have run; the response to the caller says so."}
	InputDiscarded     = Event{506, "inputDiscarded", log.WarnLevel, "A connection was closed that no response had announced, and input from its caller was discarded."}
	ResponseLost       = Event{507, "responseLost", log.WarnLevel, "A request was read and its response not sent as a whole; the fields show who ended the connection, and the status of the response, or 0 if there was none."}
	IdleClosed         = Event{508, "idleClosed", log.InfoLevel, "A shutdown closed a connection on which no request had been read; one that was under way gets no response."}
	InputBehindEnd     = Event{509, "inputBehindEnd", log.InfoLevel, "Input behind a response that announced the end of its connection was discarded; its caller sends it again."}
	ResponseSkipped    = Event{510, "responseSkipped", log.WarnLevel, "A target's response does not count for the request that waited on its connection; the fields show its status, its ID, and how many requests the connection had carried."}
	RoomShort          = Event{520, "roomShort", log.WarnLevel, "The targets of a service have too little room; less urgent requests are delayed or refused."}
	RoomEnough         = Event{521, "roomEnough", log.InfoLevel, "The targets of a service have enough room again."}
	MemoryRefused      = Event{530, "memoryRefused", log.WarnLevel, "A request was refused for lack of memory; at most one line in a second, the fields show the totals."}
	MemoryEvicted      = Event{531, "memoryEvicted", log.WarnLevel, "A client that sent or took bytes too slowly lost its place for others; at most one line in a second, the fields show the totals."}
	ConnectionsFull    = Event{532, "connectionsFull", log.WarnLevel, "All connections for clients are taken; an idle one, or else the new one, was closed; at most one line in a second, the fields show the totals."}
	ResponseInvalid    = Event{540, "responseInvalid", log.WarnLevel, "A response has a head that HTTP does not allow, such as the status 000; nothing in it counts, and its connection was closed. The fields show who sent it, the head, and how many requests the connection had carried."}
	TargetEjected      = Event{601, "targetEjected", log.WarnLevel, "A target failed repeatedly and gets only probes."}
	TargetReadmitted   = Event{602, "targetReadmitted", log.InfoLevel, "A probe succeeded; the target gets requests again."}
	TargetLeaving      = Event{603, "targetLeaving", log.InfoLevel, "A target is leaving and gets no new requests."}
	DispatcherReady    = Event{604, "dispatcherReady", log.InfoLevel, "A new dispatcher recovered the permits in use and begins to grant."}
	RepeatsSpent       = Event{605, "repeatsSpent", log.WarnLevel, "The retry budget of a service is spent on this entry; its requests are not retried."}
	TargetTurnsAway    = Event{608, "targetTurnsAway", log.WarnLevel, "A target wants no requests of this entry for the time in the field turnedAway; invalid tells of a time that can't be used."}
	TargetCold         = Event{609, "targetCold", log.InfoLevel, "A target stated that it is cold for the time in the field left, before a request was sent to it; until then one entry sends it requests, at the service's coldRate."}
	TargetsUnreachable = Event{606, "targetsUnreachable", log.WarnLevel, "No probed target can be reached from this entry; other entries serve its requests."}
	TargetsReachable   = Event{607, "targetsReachable", log.InfoLevel, "Targets can be reached from this entry again; it serves its requests itself."}
	MoveBegun          = Event{611, "moveBegun", log.InfoLevel, "A move began, or continues under a changed schedule."}
	MoveStepped        = Event{612, "moveStepped", log.InfoLevel, "A move advanced to its next share."}
	MoveTakenBack      = Event{613, "moveTakenBack", log.WarnLevel, "All traffic is back on the old side of a move; the field reason says how much worse the new side was, or which move replaces this one."}
	MoveDone           = Event{614, "moveDone", log.InfoLevel, "All traffic goes to the new side of a move."}
	MoveHeld           = Event{615, "moveHeld", log.WarnLevel, "A move cannot continue by its schedule; the field reason says why."}
	MoveStoppedHere    = Event{616, "moveStoppedHere", log.WarnLevel, "This entry observed failures of the new side of a move and sends it no further requests."}
	OwnerStarted       = Event{701, "ownerStarted", log.InfoLevel, "This entry owns a token bucket, for a team's rate or a link's capacity, under a new epoch."}
	SharesInUse        = Event{702, "sharesInUse", log.InfoLevel, "This entry's shares of teams' rates changed, or tokens are lent instead."}
	TokensUnavailable  = Event{703, "tokensUnavailable", log.WarnLevel, "Control lends no tokens; requests of the affected teams wait and are refused."}
	TokensAvailable    = Event{704, "tokensAvailable", log.InfoLevel, "Control lends tokens again."}
	SharesAwaited      = Event{705, "sharesAwaited", log.InfoLevel, "The set of entries that may still use shares of an earlier leader changed; this leader holds those shares back."}
	SharesOverdrawn    = Event{706, "sharesOverdrawn", log.WarnLevel, "The shares of a team's rate that entries may use add up to more than the whole rate."}
	SharesCovered      = Event{707, "sharesCovered", log.InfoLevel, "The shares of a team's rate add up to at most the whole rate again."}
	AllowanceBegun     = Event{708, "allowanceBegun", log.InfoLevel, "This entry begins to admit a team by a share of its rate; the fields show the tokens it starts with."}
	DutyAcquired       = Event{801, "dutyAcquired", log.InfoLevel, "This control member holds a duty towards the platform under a new fence, and begins to act in it."}
	ReportDecided      = Event{802, "reportDecided", log.InfoLevel, "The content of a report is committed; forced tells that an entry had not reported in time."}
	ReportSent         = Event{803, "reportSent", log.InfoLevel, "The platform took a report."}
	ReportFailed       = Event{804, "reportFailed", log.WarnLevel, "The platform did not take a report, or its response was lost; the report is sent again after a pause."}
	ReportDropped      = Event{805, "reportDropped", log.ErrorLevel, "The platform repeatedly called a report invalid; it is not sent again."}
	InvariantBroken    = Event{901, "invariantBroken", log.FatalLevel, "An invariant does not hold; the process stops."}
)

// Catalogue lists all events in ascending order of their numbers.
var Catalogue = []Event{
	ProcessStarted, ProcessStopping, ProcessStopped, ListenerFailed, LoopFailed, AcceptFailed, HandlerPanicked, LinesDropped,
	SettingsReloaded, ReloadRefused,
	LeaderElected, LeaderLost, StorageFailed, TornTailCut, SnapshotSaved,
	MembershipChanged, PeerUnreachable, PeerReachable, SnapshotInstalled,
	MemberJoins, OutsideQuorum,
	TextAccepted, TextRefused, ConfigurationInUse, ConfigurationBad,
	LeaseLapsed, LeaseRenewed, ControlUnreachable,
	OrderAccepted, OrderRefused, OrderUnknown, AllocationInUse, EvacuationsInForce,
	ListReachable, ListUnreachable, ListEntriesSkipped, TargetListed, OrderOutdated,
	EntryJoined, EntryRemoved, RoleAssigned, EntryStateChanged,
	RequestCut, RequestUnknown, RequestServed, RequestRefused, RequestFailed, InputDiscarded, ResponseLost, IdleClosed, InputBehindEnd, ResponseSkipped,
	RoomShort, RoomEnough, MemoryRefused, MemoryEvicted, ConnectionsFull, ResponseInvalid,
	TargetEjected, TargetReadmitted, TargetLeaving, DispatcherReady, RepeatsSpent, TargetsUnreachable, TargetsReachable, TargetTurnsAway, TargetCold,
	MoveBegun, MoveStepped, MoveTakenBack, MoveDone, MoveHeld, MoveStoppedHere,
	OwnerStarted, SharesInUse, TokensUnavailable, TokensAvailable, SharesAwaited, SharesOverdrawn, SharesCovered, AllowanceBegun,
	DutyAcquired, ReportDecided, ReportSent, ReportFailed, ReportDropped,
	InvariantBroken,
}
