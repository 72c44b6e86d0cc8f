package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Figures of the store of the small deployment fkc-scaling.
const (
	storeAnswerTime = 4 * time.Millisecond
	storeTxTime     = 5 * time.Millisecond
	storeReads      = 2000
	storeWrites     = 400
	storeHistory    = 20 * time.Second
)

// row is a row of a table. Value is base64 in JSON.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// change is an entry of the store's history.
type change struct {
	row
	at time.Time
}

// content is all that a store holds, and what a copy of it holds.
type content struct {
	version uint64
	rows    map[rowID]row
	history []change
	at      time.Time
}

func (c content) clone() content {
	return content{c.version, maps.Clone(c.rows), slices.Clone(c.history), time.Now()}
}

// store stands in for the platform's metadata store.
type store struct {
	run *run

	mu      sync.Mutex
	content content
	copies  []content
	// era is the number of restores from a copy.
	era  int
	away bool
	// changed is closed and replaced at each change.
	changed chan struct{}
	second  time.Time
	reads   int
	writes  int
	refused int
	lost410 int
	conns   map[net.Conn]bool
	// servers are the servers of the deployment, also those that have left.
	servers []*server
}

func newStore(r *run) *store {
	s := &store{run: r, content: content{rows: map[rowID]row{}}, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go func() {
		for range time.Tick(250 * time.Millisecond) {
			s.mu.Lock()
			if !s.away {
				s.copies = append(s.copies, s.content.clone())
				s.copies = s.copies[max(0, len(s.copies)-60):]
			}
			s.mu.Unlock()
		}
	}()
	return s
}

// listen opens an address of the store for the daemons of a zone, which is a way of the given
// length apart, and returns it.
func (s *store) listen(delay time.Duration) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, delay) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			switch {
			case state == http.StateNew && s.away:
				reset(c)
			case state == http.StateNew:
				s.conns[c] = true
			case state == http.StateClosed:
				delete(s.conns, c)
			}
		},
	}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// reset ends a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// goAway makes the store unreachable: its connections and all new ones are reset.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	for c := range s.conns {
		reset(c)
	}
}

// comeBack ends goAway with the content of a copy that is at least as old as age. It returns the
// versions before and after.
func (s *store) comeBack(age time.Duration) (before, after uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.content.version
	limit := s.copies[len(s.copies)-1].at.Add(-age)
	kept := s.copies[0]
	for _, c := range s.copies {
		if !c.at.After(limit) {
			kept = c
		}
	}
	s.content = kept.clone()
	s.copies = nil
	s.era++
	s.away = false
	return before, s.content.version
}

// put writes rows of the operator or of servers and returns the version of the transaction, and
// false while the store is away.
func (s *store) put(rows ...row) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	return s.apply(rows, nil), true
}

// remove deletes rows as the platform does with those of servers that have left.
func (s *store) remove(rows ...row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away {
		s.apply(nil, rows)
	}
}

// expireServers removes the entries of servers that have left, as the platform does after three
// heartbeats of silence.
func (s *store) expireServers() {
	for _, v := range s.servers {
		select {
		case <-v.stopped:
			if s.value("servers", v.id) != nil {
				s.remove(row{Table: "servers", Key: v.id})
			}
		default:
		}
	}
}

// value returns the value of a row, or nil.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.rows[rowID{table, "", key}].Value
}

// version returns the version of the newest transaction.
func (s *store) version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.version
}

// apply performs a transaction. The caller holds mu.
func (s *store) apply(puts, removes []row) uint64 {
	c := &s.content
	c.version++
	now := time.Now()
	for _, r := range puts {
		r.Ver, r.Deleted = c.version, false
		c.rows[r.id()] = r
		c.history = append(c.history, change{r, now})
	}
	for _, r := range removes {
		delete(c.rows, r.id())
		c.history = append(c.history, change{row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: c.version, Deleted: true}, now})
	}
	for len(c.history) > 0 && now.Sub(c.history[0].at) > storeHistory {
		c.history = c.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return c.version
}

// admit counts a call and reports whether it is within the store's rates.
func (s *store) admit(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.second) >= time.Second {
		s.second, s.reads, s.writes = now, 0, 0
	}
	count, limit := &s.reads, storeReads
	if write {
		count, limit = &s.writes, storeWrites
	}
	*count++
	if *count > limit {
		s.refused++
		return false
	}
	return true
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, delay time.Duration) {
	body, _ := io.ReadAll(r.Body)
	isWrite := r.URL.Path == "/rows-tx"
	time.Sleep(2*delay + storeAnswerTime)
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(era))
	if !s.admit(isWrite) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	status, answer := http.StatusNotFound, any(struct{}{})
	switch r.URL.Path {
	case "/rows-tx":
		time.Sleep(storeTxTime)
		status, answer = s.transact(body)
	case "/rows-get":
		status, answer = s.get(r)
	case "/rows-feed":
		status, answer = s.feed(r)
	case "/rows-parts":
		status, answer = http.StatusOK, map[string]any{"parts": []string{""}, "hasMore": false}
	}
	s.mu.Lock()
	stale := s.away || s.era != era
	s.mu.Unlock()
	if stale {
		// The store went away before the answer was sent.
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// rowsAnswer is an answer with rows.
type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

// answer returns an answer with rows. The caller holds mu.
func (s *store) answer(rows []row, more bool) rowsAnswer {
	if rows == nil {
		rows = []row{}
	}
	return rowsAnswer{rows, more, s.content.version, time.Since(s.run.start).Milliseconds()}
}

func (s *store) transact(body []byte) (int, any) {
	var tx struct {
		Expect []row `json:"expect"`
		Puts   []row `json:"puts"`
		Remove []row `json:"remove"`
	}
	if err := json.Unmarshal(body, &tx); err != nil {
		return http.StatusBadRequest, map[string]string{"error": err.Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range append(slices.Clone(tx.Puts), tx.Remove...) {
		if r.Table == "op" || r.Table == "servers" {
			return http.StatusForbidden, map[string]string{"error": "not writable"}
		}
	}
	for _, e := range tx.Expect {
		if s.content.rows[e.id()].Ver != e.Ver {
			var current []row
			for _, e := range tx.Expect {
				if r, found := s.content.rows[e.id()]; found {
					current = append(current, r)
				}
			}
			return http.StatusPreconditionFailed, s.answer(current, false)
		}
	}
	s.apply(tx.Puts, tx.Remove)
	return http.StatusOK, s.answer(nil, false)
}

func (s *store) get(r *http.Request) (int, any) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, r := range s.content.rows {
		inRange := r.Key >= q.Get("from") && (q.Get("to") == "" || r.Key < q.Get("to"))
		if r.Table == q.Get("table") && r.Part == q.Get("part") && inRange {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int {
		switch {
		case a.Key < b.Key:
			return -1
		case a.Key > b.Key:
			return 1
		}
		return 0
	})
	more := len(rows) > limit
	return http.StatusOK, s.answer(rows[:min(limit, len(rows))], more)
}

func (s *store) feed(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, map[string]string{"error": err.Error()}
	}
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.era
	for {
		c := &s.content
		if s.away || s.era != era {
			return http.StatusServiceUnavailable, struct{}{}
		}
		oldest := c.version + 1
		if len(c.history) > 0 {
			oldest = c.history[0].Ver
		}
		if after > c.version || after+1 < oldest {
			s.lost410++
			return http.StatusGone, s.answer(nil, false)
		}
		var rows []row
		for _, h := range c.history {
			if h.Ver > after && h.Table == q.Get("table") {
				rows = append(rows, h.row)
			}
		}
		if len(rows) > 0 || waitMs == 0 {
			return http.StatusOK, s.answer(rows, false)
		}
		changed := s.changed
		s.mu.Unlock()
		timedOut := false
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		}
		s.mu.Lock()
		if timedOut {
			waitMs = 0
		}
	}
}

// stats describes the calls that the store refused.
func (s *store) stats() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("version %d, era %d, %d calls over the rates, %d reads from versions that it did not have", s.content.version, s.era, s.refused, s.lost410)
}
