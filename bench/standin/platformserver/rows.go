package platformserver

import (
	"cmp"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"
)

// rowKey names a row.
type rowKey struct {
	table, part, key string
}

// storedRow is a row. Dropped rows stay, marked, so that feeds tell of them.
type storedRow struct {
	value   []byte
	version uint64
	deleted bool
}

// row is a row on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r *row) name() rowKey {
	return rowKey{r.Table, r.Part, r.Key}
}

// rowsAnswer is the answer of calls about rows.
type rowsAnswer struct {
	Rows    []row  `json:"rows,omitempty"`
	HasMore bool   `json:"hasMore"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

// maxEntries bounds the entries of one transaction.
const maxEntries = 100

// transact applies all entries of a transaction or none.
func (s *Server) transact(r *http.Request) answer {
	var in struct {
		Expect []row `json:"expect"`
		Puts   []row `json:"puts"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return badRequest(err)
	}
	if len(in.Expect)+len(in.Puts)+len(in.Remove) > maxEntries {
		return answer{status: http.StatusBadRequest, raw: []byte("too many entries")}
	}
	s.writes.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.conflicts(in.Expect); current != nil {
		return answer{status: http.StatusPreconditionFailed, body: s.answer(current)}
	}
	s.version++
	for _, put := range in.Puts {
		s.rows[put.name()] = &storedRow{value: put.Value, version: s.version}
	}
	for _, drop := range in.Remove {
		s.rows[drop.name()] = &storedRow{version: s.version, deleted: true}
	}
	return answer{status: http.StatusOK, body: s.answer(nil)}
}

// conflicts returns the present rows when one of the expected versions differs, else
// nil. The caller holds the lock.
func (s *Server) conflicts(expect []row) []row {
	current := make([]row, len(expect))
	failed := false
	for i, e := range expect {
		current[i] = s.present(e.name())
		failed = failed || current[i].Ver != e.Ver
	}
	if !failed {
		return nil
	}
	return current
}

// present returns a row; version 0 is an absent one. The caller holds the lock.
func (s *Server) present(name rowKey) row {
	out := row{Table: name.table, Part: name.part, Key: name.key}
	if stored := s.rows[name]; stored != nil && !stored.deleted {
		out.Value, out.Ver = stored.value, stored.version
	}
	return out
}

func (s *Server) answer(rows []row) rowsAnswer {
	return rowsAnswer{Rows: rows, Ver: s.version, NowMs: time.Since(s.started).Milliseconds()}
}

// maxPage bounds the rows of one answer.
const maxPage = 500

// rowsGet returns the rows of a range of keys.
func (s *Server) rowsGet(r *http.Request) answer {
	q := r.URL.Query()
	s.reads.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.selected(q, func(name rowKey, stored *storedRow) bool {
		return !stored.deleted && name.part == q.Get("part") && name.key >= q.Get("from") && (q.Get("to") == "" || name.key < q.Get("to"))
	})
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	limit := number(q, "limit", maxPage)
	out := s.answer(rows)
	if len(rows) > limit {
		out.Rows, out.HasMore = rows[:limit], true
	}
	return answer{status: http.StatusOK, body: out}
}

// rowsFeed waits for rows that changed after a version.
func (s *Server) rowsFeed(r *http.Request) answer {
	q := r.URL.Query()
	after := uint64(number(q, "after", 0))
	until := time.Now().Add(time.Duration(number(q, "waitMs", 0)) * time.Millisecond)
	s.reads.Add(1)
	for {
		s.mu.Lock()
		rows := s.selected(q, func(_ rowKey, stored *storedRow) bool { return stored.version > after })
		out := s.answer(rows)
		s.mu.Unlock()
		if len(rows) > 0 || !time.Now().Before(until) || r.Context().Err() != nil {
			slices.SortFunc(out.Rows, func(a, b row) int { return cmp.Compare(a.Ver, b.Ver) })
			return answer{status: http.StatusOK, body: out}
		}
		time.Sleep(feedPoll)
	}
}

// feedPoll is how often a waiting feed looks for changes.
const feedPoll = 5 * time.Millisecond

// selected returns the rows of a table that match. The caller holds the lock.
func (s *Server) selected(q url.Values, match func(rowKey, *storedRow) bool) []row {
	rows := []row{}
	for name, stored := range s.rows {
		if name.table == q.Get("table") && match(name, stored) {
			rows = append(rows, row{name.table, name.part, name.key, stored.value, stored.version, stored.deleted})
		}
	}
	return rows
}

func number(q url.Values, name string, otherwise int) int {
	if n, err := strconv.Atoi(q.Get(name)); err == nil {
		return n
	}
	return otherwise
}
