package kwevent

// ID is the number of a log event; docs/log-events.md lists them all.
type ID int

// Log events by their hundreds digit: 1 process, 2 entry, 3 agent, 4 control, 5 transport.
const (
	ProcessStarted      ID = 101
	ProcessStopping     ID = 102
	ProcessStopped      ID = 103
	SettingsReloaded    ID = 104
	LogLinesDropped     ID = 105
	ClientsRefused      ID = 106
	RequestAdmitted     ID = 201
	RequestRefused      ID = 202
	ChainChosen         ID = 203
	AttemptFailed       ID = 204
	RequestAnswered     ID = 205
	RequestFailed       ID = 206
	CallSent            ID = 207
	OutcomeReplayed     ID = 208
	ViewApplied         ID = 209
	ViewLost            ID = 210
	OutcomeRecorded     ID = 211
	EndpointEjected     ID = 212
	StreamResumed       ID = 213
	ReadyChanged        ID = 214
	RequestQueued       ID = 215
	CallerGone          ID = 216
	RefusalUnreported   ID = 217
	RetryDenied         ID = 218
	RequestCrashed      ID = 219
	CrashUnreported     ID = 220
	LeavingSeen         ID = 221
	LeavingUnreported   ID = 222
	EndpointPaused      ID = 223
	RetryAfterOdd       ID = 224
	RequestHeld         ID = 225
	StreamHandedOver    ID = 226
	StreamMoved         ID = 227
	EndpointLimited     ID = 228
	RequestLimitOdd     ID = 229
	RequestHedged       ID = 230
	RequestPanicked     ID = 231
	KeyCheckApplied     ID = 232
	SessionStarted      ID = 301
	SessionEnded        ID = 302
	StageStarted        ID = 303
	StageEnded          ID = 304
	StageBlamed         ID = 305
	CallStarted         ID = 306
	CallEnded           ID = 307
	WorkRefused         ID = 308
	AttemptFenced       ID = 309
	AnnounceFailed      ID = 310
	AnswerCrossed       ID = 311
	OrderRefused        ID = 312
	OrderRun            ID = 313
	EndpointJoined      ID = 401
	EndpointLeaving     ID = 402
	EndpointLost        ID = 403
	EndpointGone        ID = 404
	RevisionAccepted    ID = 405
	RevisionRefused     ID = 406
	ClaimGranted        ID = 407
	ClaimAnswered       ID = 408
	OutcomeLogged       ID = 409
	RowSettled          ID = 410
	StateRecovered      ID = 411
	SnapshotWritten     ID = 412
	DiskRefused         ID = 413
	LeaderElected       ID = 414
	LeaderSteppedDown   ID = 415
	WorkspaceMoved      ID = 416
	DeclarationAccepted ID = 417
	DeclarationKept     ID = 418
	DeclarationFailed   ID = 419
	OrderSent           ID = 420
	OrderAnswered       ID = 421
	MembersChanged      ID = 422
	MemberJoins         ID = 423
	HeartbeatLate       ID = 424
	MessageRefused      ID = 425
	EndpointsUnrecorded ID = 426
	PartsQuarantined    ID = 427
	PartsReleased       ID = 428
	LeavingReported     ID = 429
	RequestsHeld        ID = 430
	RequestsReleased    ID = 431
	PlanFailed          ID = 432
	ReplicationFailed   ID = 433
	ControlPanicked     ID = 434
	JoinFailed          ID = 435
	RedundancyChanged   ID = 436
	LeaderFound         ID = 437
	HeartbeatHeld       ID = 438
	KeyCheckDeclared    ID = 439
	PeerRefused         ID = 501
	KeyExpires          ID = 502
)

// Info describes one log event; Level is its logr verbosity.
type Info struct {
	ID      ID
	Name    string
	Level   int
	Meaning string
}

// Verbosity levels of logr: 0 is always logged, 1 only with --verbose.
const (
	levelInfo   = 0
	levelDetail = 1
)

var infos = []Info{
	{ProcessStarted, "process-started", levelInfo, "A role is ready to serve."},
	{ProcessStopping, "process-stopping", levelInfo, "A graceful shutdown began."},
	{ProcessStopped, "process-stopped", levelInfo, "A role has stopped."},
	{SettingsReloaded, "settings-reloaded", levelInfo, "A process has read its settings file again."},
	{LogLinesDropped, "log-lines-dropped", levelInfo, "Log lines were dropped since standard output did not keep up."},
	{ClientsRefused, "clients-refused", levelInfo, "A listener has closed or refused connections of clients since its last such event."},
	{RequestAdmitted, "request-admitted", levelDetail, "An entry admitted a caller request."},
	{RequestRefused, "request-refused", levelInfo, "An entry refused a caller request that has not run."},
	{ChainChosen, "chain-chosen", levelDetail, "An entry chose the stages of an attempt."},
	{AttemptFailed, "attempt-failed", levelInfo, "An attempt failed; another may follow."},
	{RequestAnswered, "request-answered", levelDetail, "The caller has the whole answer."},
	{RequestFailed, "request-failed", levelInfo, "The caller got an error, and the request may have run."},
	{CallSent, "call-sent", levelDetail, "An entry sent a service call to an agent."},
	{OutcomeReplayed, "outcome-replayed", levelDetail, "A resend got the recorded outcome."},
	{ViewApplied, "view-applied", levelDetail, "An entry serves with a newer view."},
	{ViewLost, "view-lost", levelInfo, "An entry lost its subscription to control."},
	{OutcomeRecorded, "outcome-recorded", levelDetail, "The journal confirmed to an entry that an outcome is recorded."},
	{EndpointEjected, "endpoint-ejected", levelInfo, "An entry avoids an endpoint for a while."},
	{StreamResumed, "stream-resumed", levelInfo, "An entry resumes a broken stream on another chain."},
	{ReadyChanged, "ready-changed", levelInfo, "An entry became ready for callers, or stopped being so."},
	{RequestQueued, "request-queued", levelDetail, "A request waits for room on model servers."},
	{CallerGone, "caller-gone", levelInfo, "A caller left before its answer was complete; the work was cancelled."},
	{RefusalUnreported, "refusal-unreported", levelInfo, "An entry could not tell control that an endpoint refuses connections or is unresponsive."},
	{RetryDenied, "retry-denied", levelInfo, "A request is not tried again, since the retry budget is spent."},
	{RequestCrashed, "request-crashed", levelInfo, "A server crashed when it was to answer a request, or just after it had."},
	{CrashUnreported, "crash-unreported", levelInfo, "An entry could not tell control under which requests a server crashed."},
	{LeavingSeen, "leaving-seen", levelInfo, "An endpoint said in an answer that it leaves; the entry gives it nothing new."},
	{LeavingUnreported, "leaving-unreported", levelInfo, "An entry could not yet tell control that an endpoint leaves; it tries again."},
	{EndpointPaused, "endpoint-paused", levelInfo, "An endpoint turned a request away and wants none for a while; the entry sends it none."},
	{RetryAfterOdd, "retry-after-odd", levelInfo, "The Retry-After time of an endpoint was ignored or bounded."},
	{RequestHeld, "request-held", levelInfo, "A request was not sent, or not sent again, since servers crash under it."},
	{StreamHandedOver, "stream-handed-over", levelInfo, "An entry that stops goes on with a stream on a faster chain."},
	{StreamMoved, "stream-moved", levelInfo, "A stream goes on at another chain, since its own was silent."},
	{EndpointLimited, "endpoint-limited", levelInfo, "An endpoint has named, changed or ended a limit on the requests a second that it takes from all entries together."},
	{RequestLimitOdd, "request-limit-odd", levelInfo, "The limit that an endpoint named was ignored or bounded."},
	{RequestHedged, "request-hedged", levelInfo, "A second attempt was sent beside one that takes longer than most of its class; the first answer counts."},
	{RequestPanicked, "request-panicked", levelInfo, "The handling of a request panicked; it failed alone, and may have run."},
	{KeyCheckApplied, "key-check-applied", levelInfo, "An entry serves by a declaration that requires keys or ignores them, and the one before it did not, or there was none."},
	{SessionStarted, "session-started", levelDetail, "The first stage of a chain began an attempt."},
	{SessionEnded, "session-ended", levelDetail, "The first stage of a chain ended an attempt."},
	{StageStarted, "stage-started", levelDetail, "A later stage of a chain began an attempt."},
	{StageEnded, "stage-ended", levelDetail, "A later stage of a chain ended an attempt."},
	{StageBlamed, "stage-blamed", levelInfo, "A probe found the stage that holds up a chain."},
	{CallStarted, "call-started", levelDetail, "An agent began a call to its service."},
	{CallEnded, "call-ended", levelDetail, "An agent has the outcome of a call."},
	{WorkRefused, "work-refused", levelInfo, "An agent refused work that has not run."},
	{AttemptFenced, "attempt-fenced", levelInfo, "An agent fenced an attempt that has not run."},
	{AnnounceFailed, "announce-failed", levelInfo, "An agent could not renew its lease."},
	{AnswerCrossed, "answer-crossed", levelInfo, "A response to another request arrived and was delivered to that request or dropped."},
	{OrderRefused, "order-refused", levelInfo, "An agent refused an order with an old fencing token."},
	{OrderRun, "order-run", levelInfo, "An engine accepted an order."},
	{EndpointJoined, "endpoint-joined", levelInfo, "An endpoint announced itself."},
	{EndpointLeaving, "endpoint-leaving", levelInfo, "An endpoint is draining."},
	{EndpointLost, "endpoint-lost", levelInfo, "The lease of an endpoint expired, or the endpoint refuses connections."},
	{EndpointGone, "endpoint-gone", levelInfo, "An endpoint left after a graceful shutdown."},
	{RevisionAccepted, "revision-accepted", levelInfo, "A configuration revision was accepted."},
	{RevisionRefused, "revision-refused", levelInfo, "A configuration change was refused."},
	{ClaimGranted, "claim-granted", levelDetail, "The journal granted an attempt."},
	{ClaimAnswered, "claim-answered", levelDetail, "The journal answered a claim without a grant."},
	{OutcomeLogged, "outcome-logged", levelDetail, "The journal recorded how an attempt ended."},
	{RowSettled, "row-settled", levelInfo, "An operator or the check of orphaned rows ended an open row."},
	{StateRecovered, "state-recovered", levelInfo, "Control read its state from the data folder."},
	{SnapshotWritten, "snapshot-written", levelInfo, "Control wrote a snapshot and dropped older log files."},
	{DiskRefused, "disk-refused", levelInfo, "A write to the data folder failed and was refused to its caller."},
	{LeaderElected, "leader-elected", levelInfo, "A control process became leader."},
	{LeaderSteppedDown, "leader-stepped-down", levelInfo, "A control process stopped being leader."},
	{WorkspaceMoved, "workspace-moved", levelInfo, "The hand-over of a workspace's writes to another site began or ended."},
	{DeclarationAccepted, "declaration-accepted", levelInfo, "A numbered declaration is on the disks of a quorum."},
	{DeclarationKept, "declaration-kept", levelInfo, "A declaration was confirmed without effect, since one with an equal or higher number is in force."},
	{DeclarationFailed, "declaration-failed", levelInfo, "A declaration was not put in force."},
	{OrderSent, "order-sent", levelInfo, "The leader ordered a model server to hold a range of layers."},
	{OrderAnswered, "order-answered", levelInfo, "The leader got a response or an error for an order to a model server."},
	{MembersChanged, "members-changed", levelInfo, "The leader changed the membership of the replicated log."},
	{MemberJoins, "member-joins", levelInfo, "A control process asked to join the replicated log and receives it."},
	{HeartbeatLate, "heartbeat-late", levelInfo, "A heartbeat was ignored, since it comes from an earlier process or is older than one already received."},
	{MessageRefused, "message-refused", levelInfo, "A message from outside could not be read or is not valid."},
	{EndpointsUnrecorded, "endpoints-unrecorded", levelInfo, "The live endpoints could not be recorded for the next leader."},
	{PartsQuarantined, "parts-quarantined", levelInfo, "The leader keeps parts of prompts from model servers, since servers crash under them."},
	{PartsReleased, "parts-released", levelInfo, "The leader lets parts of prompts reach model servers again."},
	{LeavingReported, "leaving-reported", levelInfo, "An endpoint is draining, since it says so in its answers to an entry."},
	{RequestsHeld, "requests-held", levelInfo, "The leader keeps a request and its repeats from servers, since servers crash under it."},
	{RequestsReleased, "requests-released", levelInfo, "The leader lets a request and its repeats reach servers again."},
	{PlanFailed, "plan-failed", levelInfo, "The plan of a placement panicked; the fleet is planned again once it changes."},
	{ReplicationFailed, "replication-failed", levelInfo, "A member of the replicated log could not be sent messages; those with entries are sent again."},
	{ControlPanicked, "control-panicked", levelInfo, "A function on the control goroutine panicked; it failed alone."},
	{JoinFailed, "join-failed", levelInfo, "A control process with a disk is not a member of the replicated log and could not ask its leader to join."},
	{RedundancyChanged, "redundancy-changed", levelInfo, "The leader found that more or fewer voters answer it than before, or that the log has another number of voters."},
	{LeaderFound, "leader-found", levelInfo, "A control process learned from another one, or from the replicated log, which process leads."},
	{HeartbeatHeld, "heartbeat-held", levelInfo, "A heartbeat of an endpoint whose service is not declared is kept aside, and takes no ID or address."},
	{KeyCheckDeclared, "key-check-declared", levelInfo, "The leader has a declaration that requires keys or ignores them, and the one that it had before did not, or it had none."},
	{PeerRefused, "peer-refused", levelInfo, "A connection or frame from a peer was refused."},
	{KeyExpires, "key-expires", levelInfo, "The process's certificate expires soon."},
}

// All returns every log event in ascending order.
func All() []Info {
	return append([]Info(nil), infos...)
}

// Describe returns the description of an event; an unknown ID gets the name "unlisted".
func Describe(id ID) Info {
	for _, info := range infos {
		if info.ID == id {
			return info
		}
	}
	return Info{ID: id, Name: "unlisted"}
}
