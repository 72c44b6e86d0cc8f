package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each transaction
	ver     uint64
	rows    map[rowKey]*storedRow
	started time.Time
	// onPut is called with each row that a daemon writes, with the lock held.
	onPut func(row wireRow)
}

type rowKey struct{ table, part, key string }

type storedRow struct {
	value   []byte
	ver     uint64
	deleted bool
}

type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func newStore() *store {
	return &store{changed: make(chan struct{}), rows: make(map[rowKey]*storedRow), started: time.Now()}
}

// put writes a row as the operator or a server does, and returns its version.
func (s *store) put(table, key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[rowKey{table, "", key}] = &storedRow{value: data, ver: s.ver}
	s.notify()
	return s.ver
}

// remove deletes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[rowKey{table, "", key}] = &storedRow{ver: s.ver, deleted: true}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.rows[rowKey{table, "", key}]; r != nil && !r.deleted {
		return r.value
	}
	return nil
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/rows-tx":
		time.Sleep(4 * time.Millisecond)
		s.transact(w, r)
	case "/rows-get":
		time.Sleep(4 * time.Millisecond)
		limit := 500
		if n, err := strconv.Atoi(q.Get("limit")); err == nil && n < limit {
			limit = n
		}
		s.mu.Lock()
		rows := s.selectRows(func(k rowKey, v *storedRow) bool {
			return !v.deleted && k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to"))
		})
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
		more := len(rows) > limit
		if more {
			rows = rows[:limit]
		}
		ver := s.ver
		s.mu.Unlock()
		s.answer(w, http.StatusOK, rows, more, ver)
	case "/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) selectRows(match func(rowKey, *storedRow) bool) []wireRow {
	rows := []wireRow{}
	for k, v := range s.rows {
		if match(k, v) {
			rows = append(rows, wireRow{k.table, k.part, k.key, v.value, v.ver, v.deleted})
		}
	}
	return rows
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := s.selectRows(func(k rowKey, v *storedRow) bool { return k.table == q.Get("table") && v.ver > after })
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
			s.answer(w, http.StatusOK, rows, false, ver)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.answer(w, http.StatusOK, rows, false, ver)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var in struct{ Expect, Puts, Remove []wireRow }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	conflict := false
	var current []wireRow
	for _, e := range in.Expect {
		row := wireRow{Table: e.Table, Part: e.Part, Key: e.Key}
		if v := s.rows[rowKey{e.Table, e.Part, e.Key}]; v != nil && !v.deleted {
			row.Value, row.Ver = v.value, v.ver
		}
		conflict = conflict || row.Ver != e.Ver
		current = append(current, row)
	}
	if conflict {
		ver := s.ver
		s.mu.Unlock()
		s.answer(w, http.StatusPreconditionFailed, current, false, ver)
		return
	}
	s.ver++
	for _, p := range in.Puts {
		s.rows[rowKey{p.Table, p.Part, p.Key}] = &storedRow{value: p.Value, ver: s.ver}
		if s.onPut != nil {
			s.onPut(p)
		}
	}
	for _, p := range in.Remove {
		s.rows[rowKey{p.Table, p.Part, p.Key}] = &storedRow{ver: s.ver, deleted: true}
	}
	ver := s.ver
	s.notify()
	s.mu.Unlock()
	s.answer(w, http.StatusOK, nil, false, ver)
}

func (s *store) answer(w http.ResponseWriter, status int, rows []wireRow, more bool, ver uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": more, "ver": ver, "nowMs": time.Since(s.started).Milliseconds(),
	})
}
