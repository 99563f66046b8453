package logger

import "github.com/phuslu/log"

// Event is one kind of log line. Its number never changes its meaning.
type Event struct {
	Number  int
	Name    string
	Level   log.Level
	Meaning string
}

// Events of every process, by number: 1xx process, 2xx replication, 3xx
// configuration, 4xx entries and roles, 5xx requests, 6xx dispatch and moves, 7xx limits, 9xx invariants.
var (
	ProcessStarted     = Event{101, "processStarted", log.InfoLevel, "The process listens on all its addresses."}
	ProcessStopping    = Event{102, "processStopping", log.InfoLevel, "The process was asked to stop and drains."}
	ProcessStopped     = Event{103, "processStopped", log.InfoLevel, "The process ends after its last request."}
	ListenerFailed     = Event{104, "listenerFailed", log.ErrorLevel, "A listener ended for another reason than shutdown."}
	LoopFailed         = Event{105, "loopFailed", log.ErrorLevel, "A background loop ended with an error; the process stops."}
	AcceptFailed       = Event{106, "acceptFailed", log.WarnLevel, "A connection could not be accepted; the listener goes on."}
	HandlerPanicked    = Event{107, "handlerPanicked", log.ErrorLevel, "A request ended in a panic; its connection was cut."}
	LinesDropped       = Event{108, "linesDropped", log.WarnLevel, "Log lines found no room, since their reader is slow."}
	SettingsReloaded   = Event{109, "settingsReloaded", log.InfoLevel, "The settings were read again; what can change while the process runs is in force."}
	ReloadRefused      = Event{110, "reloadRefused", log.WarnLevel, "Changed settings are not usable; those in force stay."}
	LeaderElected      = Event{201, "leaderElected", log.InfoLevel, "This control member became leader of a term."}
	LeaderLost         = Event{202, "leaderLost", log.WarnLevel, "This control member is leader no more."}
	StorageFailed      = Event{203, "storageFailed", log.ErrorLevel, "The data folder refused a write; nothing is acknowledged until it takes one."}
	TornTailCut        = Event{204, "tornTailCut", log.WarnLevel, "An unfinished last write was cut from the log at start."}
	SnapshotSaved      = Event{205, "snapshotSaved", log.InfoLevel, "A snapshot was saved and the log before it dropped."}
	MembershipChanged  = Event{206, "membershipChanged", log.InfoLevel, "The control members changed."}
	PeerUnreachable    = Event{207, "peerUnreachable", log.WarnLevel, "A control member does not answer."}
	PeerReachable      = Event{208, "peerReachable", log.InfoLevel, "A control member answers again."}
	SnapshotInstalled  = Event{209, "snapshotInstalled", log.InfoLevel, "A snapshot from the leader replaced the state."}
	MemberJoins        = Event{210, "memberJoins", log.InfoLevel, "A newcomer was taken in as a learner; it is promoted once it has caught up."}
	OutsideQuorum      = Event{211, "outsideQuorum", log.WarnLevel, "This control member is outside the quorum and could not form or join it yet."}
	TextAccepted       = Event{301, "textAccepted", log.InfoLevel, "A text was accepted under its revision."}
	TextRefused        = Event{302, "textRefused", log.WarnLevel, "A submitted text was refused or in conflict."}
	ConfigurationInUse = Event{303, "configurationInUse", log.InfoLevel, "This entry uses a new configuration."}
	ConfigurationBad   = Event{304, "configurationBad", log.ErrorLevel, "A received configuration does not compile; the one in use stays."}
	LeaseLapsed        = Event{305, "leaseLapsed", log.WarnLevel, "No fresh word from control within the lease; keyed requests are refused."}
	LeaseRenewed       = Event{306, "leaseRenewed", log.InfoLevel, "Fresh word from control again; keyed requests are served."}
	ControlUnreachable = Event{307, "controlUnreachable", log.WarnLevel, "A control member does not answer this entry."}
	OrderAccepted      = Event{311, "orderAccepted", log.InfoLevel, "An order is committed: a change of items, an evacuation or a move."}
	OrderRefused       = Event{312, "orderRefused", log.WarnLevel, "An order is not valid; nothing of it is in force."}
	OrderUnknown       = Event{313, "orderUnknown", log.WarnLevel, "An order may or may not be committed; its sender was told to ask again."}
	AllocationInUse    = Event{314, "allocationInUse", log.InfoLevel, "This entry uses other parts of its region's requests for each region."}
	EvacuationsInForce = Event{315, "evacuationsInForce", log.InfoLevel, "The availability zones whose targets get nothing from this entry changed."}
	ListReachable      = Event{321, "listReachable", log.InfoLevel, "The platform's list of targets answers again."}
	ListUnreachable    = Event{322, "listUnreachable", log.WarnLevel, "The platform's list of targets does not answer; what it said last holds."}
	ListEntriesSkipped = Event{323, "listEntriesSkipped", log.WarnLevel, "Entries of the platform's list can't be read; the others hold."}
	TargetListed       = Event{324, "targetListed", log.InfoLevel, "A target appeared on the platform's list, changed or left it."}
	EntryJoined        = Event{401, "entryJoined", log.InfoLevel, "An entry joined or came back."}
	EntryRemoved       = Event{402, "entryRemoved", log.WarnLevel, "An entry was silent past its lease or left."}
	RoleAssigned       = Event{403, "roleAssigned", log.InfoLevel, "A role was assigned to an entry under a new epoch."}
	RequestCut         = Event{501, "requestCut", log.WarnLevel, "An answer broke off midway; the caller's connection was closed."}
	RequestServed      = Event{503, "requestServed", log.InfoLevel, "A request was answered by a target; the line tells how it got there."}
	RequestRefused     = Event{504, "requestRefused", log.WarnLevel, "A request was refused; the line tells by which step, why and for how long."}
	RequestFailed      = Event{505, "requestFailed", log.WarnLevel, "A request failed or may have run; the line tells where it was sent."}
	RequestUnknown     = Event{502, "requestUnknown", log.WarnLevel, "A request may have run; the caller was told so."}
	TargetEjected      = Event{601, "targetEjected", log.WarnLevel, "A target failed repeatedly and gets probes only."}
	TargetReadmitted   = Event{602, "targetReadmitted", log.InfoLevel, "A probe succeeded; the target takes work again."}
	TargetLeaving      = Event{603, "targetLeaving", log.InfoLevel, "A target is leaving and gets no new work."}
	DispatcherReady    = Event{604, "dispatcherReady", log.InfoLevel, "A new dispatcher knows the permits in use and grants."}
	RepeatsSpent       = Event{605, "repeatsSpent", log.WarnLevel, "A service's budget of repeats is spent here; its requests go to one target only."}
	MoveBegun          = Event{611, "moveBegun", log.InfoLevel, "A move began, or goes on under a changed schedule."}
	MoveStepped        = Event{612, "moveStepped", log.InfoLevel, "A move went on to its next share."}
	MoveTakenBack      = Event{613, "moveTakenBack", log.WarnLevel, "The new side of a move is surely worse; all traffic is back on the old one."}
	MoveDone           = Event{614, "moveDone", log.InfoLevel, "All traffic goes the new way."}
	MoveHeld           = Event{615, "moveHeld", log.WarnLevel, "A move can't go on by its schedule; the reason says why."}
	MoveStoppedHere    = Event{616, "moveStoppedHere", log.WarnLevel, "This entry saw the new side fail and sends it no more requests."}
	OwnerStarted       = Event{701, "ownerStarted", log.InfoLevel, "This entry owns an account, a team's rate or the room on a link, under a new epoch."}
	SharesInUse        = Event{702, "sharesInUse", log.InfoLevel, "This entry's shares of teams' rates changed, or tokens are lent instead."}
	TokensUnavailable  = Event{703, "tokensUnavailable", log.WarnLevel, "Control lends no tokens; requests of the teams concerned wait and are refused."}
	TokensAvailable    = Event{704, "tokensAvailable", log.InfoLevel, "Control lends tokens again."}
	SharesAwaited      = Event{705, "sharesAwaited", log.InfoLevel, "The entries changed that may use shares of an earlier leader; this one holds back what they may have."}
	SharesOverdrawn    = Event{706, "sharesOverdrawn", log.WarnLevel, "The shares that entries may use of a team's rate add up to more than the whole."}
	SharesCovered      = Event{707, "sharesCovered", log.InfoLevel, "The shares of a team's rate add up to no more than the whole again."}
	AllowanceBegun     = Event{708, "allowanceBegun", log.InfoLevel, "This entry begins to admit a team by a share; the line tells the tokens that it begins with."}
	InvariantBroken    = Event{901, "invariantBroken", log.FatalLevel, "An invariant does not hold; the process stops."}
)

// Catalogue lists every event in the order of its number.
var Catalogue = []Event{
	ProcessStarted, ProcessStopping, ProcessStopped, ListenerFailed, LoopFailed, AcceptFailed, HandlerPanicked, LinesDropped,
	SettingsReloaded, ReloadRefused,
	LeaderElected, LeaderLost, StorageFailed, TornTailCut, SnapshotSaved,
	MembershipChanged, PeerUnreachable, PeerReachable, SnapshotInstalled,
	MemberJoins, OutsideQuorum,
	TextAccepted, TextRefused, ConfigurationInUse, ConfigurationBad,
	LeaseLapsed, LeaseRenewed, ControlUnreachable,
	OrderAccepted, OrderRefused, OrderUnknown, AllocationInUse, EvacuationsInForce,
	ListReachable, ListUnreachable, ListEntriesSkipped, TargetListed,
	EntryJoined, EntryRemoved, RoleAssigned,
	RequestCut, RequestUnknown, RequestServed, RequestRefused, RequestFailed,
	TargetEjected, TargetReadmitted, TargetLeaving, DispatcherReady, RepeatsSpent,
	MoveBegun, MoveStepped, MoveTakenBack, MoveDone, MoveHeld, MoveStoppedHere,
	OwnerStarted, SharesInUse, TokensUnavailable, TokensAvailable, SharesAwaited, SharesOverdrawn, SharesCovered, AllowanceBegun,
	InvariantBroken,
}
