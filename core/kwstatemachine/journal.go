package kwstatemachine

import (
	"cmp"
	"container/list"
	"slices"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// RowState is the state of one journal row.
type RowState string

const (
	// RowGranted means that an attempt may be running.
	RowGranted RowState = "granted"
	// RowDone means that the response is recorded.
	RowDone RowState = "done"
	// RowFenced means that the last attempt is proven not to have run; the next claim gets a new attempt.
	RowFenced RowState = "fenced"
	// RowUnknown means that the last attempt may have run; no attempt follows until an operator settles it.
	RowUnknown RowState = "unknown"
)

// JournalRow is one idempotency key with its grant and outcome; times are Unix milliseconds.
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

// ending remembers when a row ended, for the expiry sweep.
type ending struct {
	scope Scope
	at    int64
}

type journal struct {
	cfg   Config
	rows  map[Scope]*list.Element
	order *list.List
	ended *list.List
	// unsettled indexes the rows that are granted or unknown, which are few.
	unsettled map[Scope]*JournalRow
}

func newJournal(cfg Config) *journal {
	return &journal{
		cfg:       cfg,
		rows:      make(map[Scope]*list.Element),
		order:     list.New(),
		ended:     list.New(),
		unsettled: make(map[Scope]*JournalRow),
	}
}

func (j *journal) load(rows []JournalRow) {
	var ended []ending
	for _, row := range rows {
		j.insert(row)
		if row.EndedMillis > 0 {
			ended = append(ended, ending{scope: row.Scope, at: row.EndedMillis})
		}
	}
	slices.SortStableFunc(ended, func(a, b ending) int { return cmp.Compare(a.at, b.at) })
	for _, e := range ended {
		j.ended.PushBack(e)
	}
}

// end closes a row and queues it for expiry.
func (j *journal) end(row *JournalRow, state RowState, now int64) {
	row.State = state
	row.EndedMillis = now
	j.index(row)
	j.ended.PushBack(ending{scope: row.Scope, at: now})
}

func (j *journal) insert(row JournalRow) *JournalRow {
	kept := &row
	j.rows[row.Scope] = j.order.PushBack(kept)
	j.index(kept)
	return kept
}

// index keeps the unsettled rows in step with a row's state.
func (j *journal) index(row *JournalRow) {
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
	out := make([]JournalRow, 0, j.order.Len())
	for e := j.order.Front(); e != nil; e = e.Next() {
		out = append(out, *e.Value.(*JournalRow))
	}
	return out
}

// inState lists the rows that are granted or unknown, in the order of their claims.
func (j *journal) inState(s RowState) []JournalRow {
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

// expire drops rows that ended longer ago than the bound; open and unknown rows stay.
func (j *journal) expire(now int64) {
	for e := j.ended.Front(); e != nil; e = j.ended.Front() {
		end := e.Value.(ending)
		if now-end.at <= j.cfg.RetentionMillis {
			return
		}
		j.ended.Remove(e)
		row := j.find(end.scope)
		if row != nil && row.EndedMillis == end.at && row.State != RowUnknown {
			j.remove(end.scope)
		}
	}
}

func (j *journal) remove(s Scope) {
	elem, ok := j.rows[s]
	if !ok {
		return
	}
	j.order.Remove(elem)
	delete(j.rows, s)
	delete(j.unsettled, s)
}

// claim answers from the row, or grants a new attempt unless barred says that the site may not run one.
func (j *journal) claim(now int64, c *Claim, barred *kwcode.Error) Reply {
	row := j.find(c.Scope)
	if row == nil || j.windowOver(row, now) {
		if barred != nil {
			return Reply{Err: barred}
		}
		return j.grantFirst(now, c)
	}
	if row.Digest != c.Digest {
		return Reply{Err: kwcode.New(kwcode.KeyReused, "key %q was claimed for another request", c.Scope.Key)}
	}
	if row.State == RowFenced {
		if barred != nil {
			return Reply{Err: barred}
		}
		return j.grantNext(now, row, c)
	}
	granted := row.State == RowGranted && row.Grant.Request == c.Grant.Request
	return answer(row, granted)
}

// windowOver tells whether an ended row of a derived key no longer covers a repeat.
func (j *journal) windowOver(row *JournalRow, now int64) bool {
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
	return answer(row, true)
}

func (j *journal) grantNext(now int64, row *JournalRow, c *Claim) Reply {
	next := row.Grant.Attempt + 1
	row.Grant = c.Grant
	row.Grant.Attempt = next
	row.State = RowGranted
	row.ClaimedMillis = now
	row.EndedMillis = 0
	j.index(row)
	return answer(row, true)
}

func answer(row *JournalRow, granted bool) Reply {
	out := *row
	return Reply{Row: &out, Granted: granted}
}

// current returns the row if the attempt is its present one, or a reply that refuses.
func (j *journal) current(s Scope, attempt kwid.Attempt) (*JournalRow, *Reply) {
	row := j.find(s)
	if row == nil {
		return nil, &Reply{Err: kwcode.New(kwcode.NotFound, "no row for key %q", s.Key)}
	}
	if row.Grant.Attempt != attempt {
		return nil, &Reply{Err: kwcode.New(kwcode.OldAttempt, "attempt %d, present attempt %d", attempt, row.Grant.Attempt)}
	}
	return row, nil
}

func (j *journal) outcome(now int64, o *RecordOutcome) Reply {
	row, refused := j.current(o.Scope, o.Attempt)
	if refused != nil {
		return *refused
	}
	if row.State == RowGranted || row.State == RowUnknown {
		row.Response = o.Response
		j.end(row, RowDone, now)
	}
	return answer(row, false)
}

func (j *journal) fenced(now int64, f *RecordFenced) Reply {
	row, refused := j.current(f.Scope, f.Attempt)
	if refused != nil {
		return *refused
	}
	if row.State == RowGranted || row.State == RowUnknown {
		j.end(row, RowFenced, now)
	}
	return answer(row, false)
}

func (j *journal) unknown(now int64, u *RecordUnknown) Reply {
	row, refused := j.current(u.Scope, u.Attempt)
	if refused != nil {
		return *refused
	}
	if row.State == RowGranted {
		row.Note = u.Reason
		j.end(row, RowUnknown, now)
	}
	return answer(row, false)
}

func (j *journal) settle(now int64, s *Settle) Reply {
	row := j.find(s.Scope)
	if row == nil {
		return Reply{Err: kwcode.New(kwcode.NotFound, "no row for key %q", s.Scope.Key)}
	}
	if row.State != RowUnknown {
		return Reply{Err: kwcode.New(kwcode.AlreadySettled, "the row is %q, not %q", row.State, RowUnknown)}
	}
	row.Note = "settled as " + string(s.Verdict) + " by " + s.Operator
	if s.Verdict == VerdictNotRun {
		j.end(row, RowFenced, now)
		return answer(row, false)
	}
	row.Response = settledResponse()
	j.end(row, RowDone, now)
	return answer(row, false)
}

// settledResponse is what a resend gets after an operator found that the call ran.
func settledResponse() Response {
	return Response{
		Status:  200,
		Headers: []Header{{Name: "Content-Type", Value: "application/json"}},
		Body:    []byte(`{"settled":"ran"}`),
	}
}
