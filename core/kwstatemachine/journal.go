package kwstatemachine

import (
	"cmp"
	"container/list"
	"slices"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// RowState is the state of a journal row.
type RowState string

const (
	// RowGranted means that an attempt may be running.
	RowGranted RowState = "granted"
	// RowDone means that the response is recorded.
	RowDone RowState = "done"
	// RowFenced means that the last attempt is known not to have run; the next claim gets a new attempt.
	RowFenced RowState = "fenced"
	// RowUnknown means that the last attempt may have run. No new attempt is granted until the agent reports what
	// happened or an operator settles the row.
	RowUnknown RowState = "unknown"
)

// JournalRow is one idempotency key with its grant and its outcome. ClaimedMillis and EndedMillis are Unix times.
type JournalRow struct {
	Scope         Scope    `cbor:"1,keyasint" json:"scope"`
	Digest        string   `cbor:"2,keyasint" json:"digest"`
	State         RowState `cbor:"3,keyasint" json:"state"`
	Grant         Grant    `cbor:"4,keyasint" json:"grant"`
	Response      Response `cbor:"5,keyasint" json:"response"`
	ClaimedMillis int64    `cbor:"6,keyasint" json:"claimed-ms"`
	EndedMillis   int64    `cbor:"7,keyasint" json:"ended-ms"`
	WindowMillis  int64    `cbor:"8,keyasint" json:"window-ms"`
	Call          string   `cbor:"9,keyasint" json:"call"`
	Note          string   `cbor:"10,keyasint" json:"note"`
}

// endedRow is an entry of the expiry queue: a row and when it ended, in Unix milliseconds.
type endedRow struct {
	scope Scope
	at    int64
}

// journal holds the rows of the idempotency keys. claimOrder lists the rows in claim order; expiryQueue lists ended
// rows, oldest first.
type journal struct {
	cfg         Config
	rows        map[Scope]*list.Element
	claimOrder  *list.List
	expiryQueue *list.List
	// unsettled indexes the rows that are granted or unknown, so that listing them does not scan the whole journal.
	unsettled map[Scope]*JournalRow
}

func newJournal(cfg Config) *journal {
	return &journal{
		cfg:         cfg,
		rows:        make(map[Scope]*list.Element),
		claimOrder:  list.New(),
		expiryQueue: list.New(),
		unsettled:   make(map[Scope]*JournalRow),
	}
}

func (j *journal) load(rows []JournalRow) {
	var ended []endedRow
	for _, row := range rows {
		j.insert(row)
		if row.EndedMillis > 0 {
			ended = append(ended, endedRow{scope: row.Scope, at: row.EndedMillis})
		}
	}
	slices.SortStableFunc(ended, func(a, b endedRow) int { return cmp.Compare(a.at, b.at) })
	for _, e := range ended {
		j.expiryQueue.PushBack(e)
	}
}

// endRow ends a row and queues it for expiry.
func (j *journal) endRow(row *JournalRow, state RowState, now int64) {
	row.State = state
	row.EndedMillis = now
	j.updateIndex(row)
	j.expiryQueue.PushBack(endedRow{scope: row.Scope, at: now})
}

func (j *journal) insert(row JournalRow) *JournalRow {
	kept := &row
	j.rows[row.Scope] = j.claimOrder.PushBack(kept)
	j.updateIndex(kept)
	return kept
}

// updateIndex adds a row to the unsettled index or removes it, according to its state.
func (j *journal) updateIndex(row *JournalRow) {
	if row.State == RowGranted || row.State == RowUnknown {
		j.unsettled[row.Scope] = row
		return
	}
	delete(j.unsettled, row.Scope)
}

func (j *journal) find(s Scope) *JournalRow {
	elem, ok := j.rows[s]
	if !ok {
		return nil
	}
	return elem.Value.(*JournalRow)
}

func (j *journal) get(s Scope) (JournalRow, bool) {
	row := j.find(s)
	if row == nil {
		return JournalRow{}, false
	}
	return *row, true
}

func (j *journal) list() []JournalRow {
	out := make([]JournalRow, 0, j.claimOrder.Len())
	for e := j.claimOrder.Front(); e != nil; e = e.Next() {
		out = append(out, *e.Value.(*JournalRow))
	}
	return out
}

// unsettledInState lists the granted or the unknown rows in claim order.
func (j *journal) unsettledInState(s RowState) []JournalRow {
	var out []JournalRow
	for _, row := range j.unsettled {
		if row.State == s {
			out = append(out, *row)
		}
	}
	slices.SortFunc(out, func(a, b JournalRow) int {
		return cmp.Or(
			cmp.Compare(a.ClaimedMillis, b.ClaimedMillis),
			cmp.Compare(a.Scope.Workspace, b.Scope.Workspace),
			cmp.Compare(a.Scope.Service, b.Scope.Service),
			cmp.Compare(a.Scope.Key, b.Scope.Key),
		)
	})
	return out
}

// expire drops rows that ended longer ago than the retention time. Granted and unknown rows are kept.
func (j *journal) expire(now int64) {
	for e := j.expiryQueue.Front(); e != nil; e = j.expiryQueue.Front() {
		ended := e.Value.(endedRow)
		if now-ended.at <= j.cfg.RetentionMillis {
			return
		}
		j.expiryQueue.Remove(e)
		row := j.find(ended.scope)
		if row != nil && row.EndedMillis == ended.at && row.State != RowUnknown {
			j.remove(ended.scope)
		}
	}
}

func (j *journal) remove(s Scope) {
	elem, ok := j.rows[s]
	if !ok {
		return
	}
	j.claimOrder.Remove(elem)
	delete(j.rows, s)
	delete(j.unsettled, s)
}

// claim replies with the row of the key, or grants a new attempt unless siteErr says that the site may not run one.
func (j *journal) claim(now int64, c *Claim, siteErr *kwcode.Error) Reply {
	row := j.find(c.Scope)
	if row == nil || j.windowExpired(row, now) {
		if siteErr != nil {
			return Reply{Err: siteErr}
		}
		return j.grantFirst(now, c)
	}
	if row.Digest != c.Digest {
		return Reply{Err: kwcode.New(kwcode.KeyReused, "key %q was claimed for another request", c.Scope.Key)}
	}
	if row.State == RowFenced {
		if siteErr != nil {
			return Reply{Err: siteErr}
		}
		return j.grantNext(now, row, c)
	}
	granted := row.State == RowGranted && row.Grant.Request == c.Grant.Request
	return replyWithRow(row, granted)
}

// windowExpired reports whether the outcome of a derived key no longer answers repeats of the call.
func (j *journal) windowExpired(row *JournalRow, now int64) bool {
	return row.WindowMillis > 0 && row.State == RowDone && now-row.EndedMillis > row.WindowMillis
}

func (j *journal) grantFirst(now int64, c *Claim) Reply {
	j.remove(c.Scope)
	if len(j.rows) >= j.cfg.MaxJournalRows {
		return Reply{Err: kwcode.New(kwcode.JournalFull, "the journal holds %d rows", len(j.rows))}
	}
	grant := c.Grant
	grant.Attempt = 1
	row := j.insert(JournalRow{
		Scope:         c.Scope,
		Digest:        c.Digest,
		State:         RowGranted,
		Grant:         grant,
		ClaimedMillis: now,
		WindowMillis:  c.WindowMillis,
		Call:          c.Call,
	})
	return replyWithRow(row, true)
}

func (j *journal) grantNext(now int64, row *JournalRow, c *Claim) Reply {
	next := row.Grant.Attempt + 1
	row.Grant = c.Grant
	row.Grant.Attempt = next
	row.State = RowGranted
	row.ClaimedMillis = now
	row.EndedMillis = 0
	j.updateIndex(row)
	return replyWithRow(row, true)
}

func replyWithRow(row *JournalRow, granted bool) Reply {
	out := *row
	return Reply{Row: &out, Granted: granted}
}

// rowOfAttempt returns the row if the attempt is its current one, or else the reply that refuses the command.
func (j *journal) rowOfAttempt(s Scope, attempt kwid.Attempt) (*JournalRow, *Reply) {
	row := j.find(s)
	if row == nil {
		return nil, &Reply{Err: kwcode.New(kwcode.NotFound, "no row for key %q", s.Key)}
	}
	if row.Grant.Attempt != attempt {
		return nil, &Reply{Err: kwcode.New(kwcode.OldAttempt, "attempt %d is not the current attempt %d", attempt, row.Grant.Attempt)}
	}
	return row, nil
}

func (j *journal) outcome(now int64, o *RecordOutcome) Reply {
	row, refused := j.rowOfAttempt(o.Scope, o.Attempt)
	if refused != nil {
		return *refused
	}
	if row.State == RowGranted || row.State == RowUnknown {
		row.Response = o.Response
		j.endRow(row, RowDone, now)
	}
	return replyWithRow(row, false)
}

func (j *journal) fenced(now int64, f *RecordFenced) Reply {
	row, refused := j.rowOfAttempt(f.Scope, f.Attempt)
	if refused != nil {
		return *refused
	}
	if row.State == RowGranted || row.State == RowUnknown {
		j.endRow(row, RowFenced, now)
	}
	return replyWithRow(row, false)
}

func (j *journal) unknown(now int64, u *RecordUnknown) Reply {
	row, refused := j.rowOfAttempt(u.Scope, u.Attempt)
	if refused != nil {
		return *refused
	}
	if row.State == RowGranted {
		row.Note = u.Reason
		j.endRow(row, RowUnknown, now)
	}
	return replyWithRow(row, false)
}

func (j *journal) settle(now int64, s *Settle) Reply {
	row := j.find(s.Scope)
	if row == nil {
		return Reply{Err: kwcode.New(kwcode.NotFound, "no row for key %q", s.Scope.Key)}
	}
	if row.State != RowUnknown {
		return Reply{Err: kwcode.New(kwcode.AlreadySettled, "the row is in state %q, not %q", row.State, RowUnknown)}
	}
	row.Note = "settled as " + string(s.Verdict) + " by " + s.Operator
	if s.Verdict == VerdictNotRun {
		j.endRow(row, RowFenced, now)
		return replyWithRow(row, false)
	}
	row.Response = settledResponse()
	j.endRow(row, RowDone, now)
	return replyWithRow(row, false)
}

// settledResponse is the response to a retry after an operator has decided that the call ran.
func settledResponse() Response {
	return Response{
		Status:  200,
		Headers: []Header{{Name: "Content-Type", Value: "application/json"}},
		Body:    []byte(`{"settled":"ran"}`),
	}
}
