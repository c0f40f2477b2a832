package kwcode

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is a numbered result code; docs/result-codes.md lists them all.
type Code int

// Outcome says whether the request that a code answers has run.
type Outcome string

const (
	// NotRun means that the request has not run and never will under this attempt.
	NotRun Outcome = "not-run"
	// Ran means that the request ran, at least in part.
	Ran Outcome = "ran"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// NoRequest marks codes that do not belong to a caller request.
	NoRequest Outcome = "none"
)

// Result codes by their thousands digit: 1 the request did not run, 2 it ran, 3 it may have run, 4 settings, 5 control
// state, 6 transport, 7 stages of a chain, 8 command line.
const (
	MalformedRequest   Code = 1001
	Unauthenticated    Code = 1002
	UnknownModel       Code = 1003
	UnknownService     Code = 1004
	BodyTooLarge       Code = 1005
	NoRule             Code = 1006
	WorkspaceLimit     Code = 1007
	NoChain            Code = 1008
	EntryStopping      Code = 1009
	ViewExpired        Code = 1010
	KeyReused          Code = 1011
	EndpointLeaving    Code = 1012
	AttemptFenced      Code = 1013
	DeadlineTooShort   Code = 1014
	JournalUnavailable Code = 1015
	NoEndpoint         Code = 1016
	WrongIncarnation   Code = 1017
	JournalFull        Code = 1018
	EntryOverloaded    Code = 1019
	WrongSite          Code = 1020
	WorkspaceMoving    Code = 1021
	PromptQuarantined  Code = 1022
	RequestQuarantined Code = 1023
	EndpointLimit      Code = 1024
	BuffersFull        Code = 1025
	HeadTooLarge       Code = 1026
	BodyTimeout        Code = 1027
	StreamCut          Code = 2001
	LookupFailed       Code = 2002
	OutcomeUnknown     Code = 3001
	OutcomePending     Code = 3002
	DeadlineExceeded   Code = 3003
	SettingsSyntax     Code = 4001
	SettingsUnknownKey Code = 4002
	SettingsBadValue   Code = 4003
	SettingsMissing    Code = 4004
	SettingsLayers     Code = 4005
	SettingsReference  Code = 4006
	SettingsFile       Code = 4007
	SettingsDuplicate  Code = 4008
	RevisionConflict   Code = 5001
	ChangeIDReused     Code = 5002
	LogDamaged         Code = 5003
	FolderLocked       Code = 5004
	DiskFailed         Code = 5005
	NotFound           Code = 5006
	ControlStopping    Code = 5007
	AlreadySettled     Code = 5008
	StaleFence         Code = 5009
	NotLeader          Code = 5010
	RetryBudgetSpent   Code = 5011
	FrameTooLarge      Code = 6001
	FrameMalformed     Code = 6002
	UnknownMessage     Code = 6003
	PeerUnknown        Code = 6004
	PeerUnreachable    Code = 6005
	KeyFileBad         Code = 6006
	StepGap            Code = 7001
	OldAttempt         Code = 7002
	EngineFailed       Code = 7003
	StageLost          Code = 7004
	EngineMemoryFull   Code = 7005
	StepTimeout        Code = 7006
	FenceUnknown       Code = 7007
	Usage              Code = 8001
	WrongAnswer        Code = 8002
	ListenFailed       Code = 8003
	OperationFailed    Code = 8004
)

// Info describes one result code. Status is its HTTP status, or 0 for a code that callers never see as a status.
type Info struct {
	Code    Code
	Name    string
	Status  int
	Outcome Outcome
	Meaning string
}

var infos = []Info{
	{MalformedRequest, "malformed-request", http.StatusBadRequest, NotRun, "The request could not be decoded."},
	{Unauthenticated, "unauthenticated", http.StatusUnauthorized, NotRun, "The bearer token belongs to no workspace."},
	{UnknownModel, "unknown-model", http.StatusNotFound, NotRun, "The fleet declares no such model."},
	{UnknownService, "unknown-service", http.StatusNotFound, NotRun, "The fleet declares no such service."},
	{BodyTooLarge, "body-too-large", http.StatusRequestEntityTooLarge, NotRun, "The request body is over the size limit."},
	{NoRule, "no-rule", http.StatusNotFound, NotRun, "The service declares no rule for this method and path."},
	{WorkspaceLimit, "workspace-limit", http.StatusTooManyRequests, NotRun, "The workspace has used up its share of requests in flight."},
	{NoChain, "no-chain", http.StatusServiceUnavailable, NotRun, "No live chain of stages covers every layer of the model."},
	{EntryStopping, "entry-stopping", http.StatusServiceUnavailable, NotRun, "The entry is shutting down gracefully."},
	{ViewExpired, "view-expired", http.StatusServiceUnavailable, NotRun, "The entry could not confirm its configuration with control in time."},
	{KeyReused, "key-reused", http.StatusUnprocessableEntity, NotRun, "The idempotency key was used before with another request."},
	{EndpointLeaving, "endpoint-leaving", http.StatusServiceUnavailable, NotRun, "The endpoint is draining and takes no new work."},
	{AttemptFenced, "attempt-fenced", http.StatusServiceUnavailable, NotRun, "The attempt was fenced before it ran and can never run."},
	{DeadlineTooShort, "deadline-too-short", http.StatusServiceUnavailable, NotRun, "The deadline cannot be met, so the request was not started."},
	{JournalUnavailable, "journal-unavailable", http.StatusServiceUnavailable, NotRun, "The idempotency journal could not record the claim, so the call was not sent."},
	{NoEndpoint, "no-endpoint", http.StatusServiceUnavailable, NotRun, "No live endpoint of the service took the call."},
	{WrongIncarnation, "wrong-incarnation", http.StatusServiceUnavailable, NotRun, "The call was granted to an earlier incarnation of the agent."},
	{JournalFull, "journal-full", http.StatusServiceUnavailable, NotRun, "The idempotency journal is at its size limit and refuses new claims."},
	{EntryOverloaded, "entry-overloaded", http.StatusServiceUnavailable, NotRun, "The entry is at its limit of requests in flight."},
	{WrongSite, "wrong-site", http.StatusServiceUnavailable, NotRun, "The workspace's writes belong to another site."},
	{WorkspaceMoving, "workspace-moving", http.StatusServiceUnavailable, NotRun, "The workspace's writes are moving between sites."},
	{PromptQuarantined, "prompt-quarantined", http.StatusServiceUnavailable, NotRun, "Model servers crash under a part of the prompt, so it is kept from them."},
	{RequestQuarantined, "request-quarantined", http.StatusServiceUnavailable, NotRun, "Servers crash under this request whenever it comes, so it is kept from them."},
	{EndpointLimit, "endpoint-limit", http.StatusServiceUnavailable, NotRun, "Every endpoint that could serve the request is at the limit of requests that it has named."},
	{BuffersFull, "buffers-full", http.StatusServiceUnavailable, NotRun, "The process has no memory left to buffer the request or its answer."},
	{HeadTooLarge, "head-too-large", http.StatusRequestHeaderFieldsTooLarge, NotRun, "The head of the request is over the size limit."},
	{BodyTimeout, "body-timeout", http.StatusRequestTimeout, NotRun, "The request body did not arrive before the deadline."},
	{StreamCut, "stream-cut", http.StatusBadGateway, Ran, "The stream ended with an error after part of the answer was produced."},
	{LookupFailed, "lookup-failed", http.StatusBadGateway, Ran, "The idempotent call failed on every endpoint that was tried."},
	{OutcomeUnknown, "outcome-unknown", http.StatusBadGateway, Unknown, "The call may have run; it will not run again until an operator settles it."},
	{OutcomePending, "outcome-pending", http.StatusGatewayTimeout, Unknown, "The call is still in progress; resend it with the same key for its outcome."},
	{DeadlineExceeded, "deadline-exceeded", http.StatusGatewayTimeout, Unknown, "The deadline passed before the answer was complete."},
	{SettingsSyntax, "settings-syntax", 0, NoRequest, "The settings file is not valid TOML."},
	{SettingsUnknownKey, "settings-unknown-key", 0, NoRequest, "The settings file has a key that is not known."},
	{SettingsBadValue, "settings-bad-value", 0, NoRequest, "A value is outside its range or has the wrong unit."},
	{SettingsMissing, "settings-missing", 0, NoRequest, "A required key is missing."},
	{SettingsLayers, "settings-layers", 0, NoRequest, "Layer ranges overlap or leave layers uncovered."},
	{SettingsReference, "settings-reference", 0, NoRequest, "A name refers to something that is not declared."},
	{SettingsFile, "settings-file", 0, NoRequest, "The settings file cannot be read."},
	{SettingsDuplicate, "settings-duplicate", 0, NoRequest, "A name is declared twice."},
	{RevisionConflict, "revision-conflict", http.StatusConflict, NoRequest, "The configuration changed since the revision that was edited."},
	{ChangeIDReused, "change-id-reused", http.StatusConflict, NoRequest, "The change id was used before with other content."},
	{LogDamaged, "log-damaged", http.StatusInternalServerError, NoRequest, "A log or snapshot file is damaged before its end."},
	{FolderLocked, "folder-locked", 0, NoRequest, "Another process holds the data folder."},
	{DiskFailed, "disk-failed", http.StatusServiceUnavailable, NoRequest, "A record could not be written and synced."},
	{NotFound, "not-found", http.StatusNotFound, NoRequest, "The named row does not exist."},
	{ControlStopping, "control-stopping", http.StatusServiceUnavailable, NoRequest, "Control is shutting down."},
	{AlreadySettled, "already-settled", http.StatusConflict, NoRequest, "The journal row already has an outcome."},
	{StaleFence, "stale-fence", http.StatusConflict, NoRequest, "The order carries a fencing number below the present one."},
	{NotLeader, "not-leader", http.StatusServiceUnavailable, NoRequest, "This control process is not the leader or cannot confirm its lease."},
	{RetryBudgetSpent, "retry-budget-spent", http.StatusTooManyRequests, NoRequest, "The fleet's retry budget for the service is spent."},
	{FrameTooLarge, "frame-too-large", 0, NoRequest, "A frame is over the size limit."},
	{FrameMalformed, "frame-malformed", 0, NoRequest, "A frame could not be decoded."},
	{UnknownMessage, "unknown-message", 0, NoRequest, "A frame carries a message kind that the role does not serve."},
	{PeerUnknown, "peer-unknown", 0, NoRequest, "The peer's certificate is not from the authority or has the wrong role."},
	{PeerUnreachable, "peer-unreachable", 0, NoRequest, "No connection to the peer could be made."},
	{KeyFileBad, "key-file-bad", 0, NoRequest, "A key or certificate file is missing, damaged or expired."},
	{StepGap, "step-gap", 0, NoRequest, "A step frame is not the next position of its attempt."},
	{OldAttempt, "old-attempt", 0, NoRequest, "A frame belongs to an attempt that a later one has replaced."},
	{EngineFailed, "engine-failed", 0, NoRequest, "The model engine refused or failed a step."},
	{StageLost, "stage-lost", 0, NoRequest, "A stage of the chain is unreachable or makes no progress."},
	{EngineMemoryFull, "engine-memory-full", 0, NoRequest, "The engine has no KV cache memory for the request."},
	{StepTimeout, "step-timeout", 0, NoRequest, "A step was not answered within its timeout."},
	{FenceUnknown, "fence-unknown", 0, NoRequest, "The restarted agent has not learned the present fencing number."},
	{Usage, "usage", 0, NoRequest, "The command line is wrong."},
	{WrongAnswer, "wrong-answer", 0, NoRequest, "A check of the demonstration found a wrong answer."},
	{ListenFailed, "listen-failed", 0, NoRequest, "An address could not be opened for listening."},
	{OperationFailed, "operation-failed", http.StatusInternalServerError, NoRequest, "An operation failed for a reason without a code of its own."},
}

// All returns every result code in ascending order.
func All() []Info {
	return append([]Info(nil), infos...)
}

// Describe returns the description of a code, or that of OperationFailed for an unknown code.
func Describe(c Code) Info {
	var fallback Info
	for _, info := range infos {
		if info.Code == c {
			return info
		}
		if info.Code == OperationFailed {
			fallback = info
		}
	}
	return fallback
}

// Error is an error with a result code. RetryAfter is the wait before a retry, or 0 if no retry is advised. Endpoint
// names the endpoint at fault or, for NotLeader, WrongSite and WorkspaceMoving, the node or site to use instead.
type Error struct {
	Code       Code          `cbor:"1,keyasint"`
	Detail     string        `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	Endpoint   string        `cbor:"4,keyasint,omitempty"`
}

// New returns an Error with a formatted detail.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// After returns a copy of the error that advises the caller to retry after d.
func (e *Error) After(d time.Duration) *Error {
	out := *e
	out.RetryAfter = d
	return &out
}

// WithEndpoint returns a copy of the error with its Endpoint set.
func (e *Error) WithEndpoint(endpoint string) *Error {
	out := *e
	out.Endpoint = endpoint
	return &out
}

// Error formats the code, its name and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("kw-%d %s: %s", int(e.Code), Describe(e.Code).Name, e.Detail)
}

// FromError returns the Error in err's chain, or an OperationFailed error with err's text; it returns nil for nil.
func FromError(err error) *Error {
	if err == nil {
		return nil
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded
	}
	return New(OperationFailed, "%v", err)
}

// Is reports whether the Error in err's chain has the code c.
func Is(err error, c Code) bool {
	var coded *Error
	return errors.As(err, &coded) && coded.Code == c
}
