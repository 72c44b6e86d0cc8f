package adminapi

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/object"
)

// maxDrainTries bounds how often drain starts again after another operator
// published in between.
const maxDrainTries = 5

func (s *Server) check(c echo.Context) error {
	set, err := readSet(c)
	if err != nil {
		return err
	}
	config, err := s.current(c.Request().Context())
	if err != nil {
		return err
	}
	problems := s.problems(config.Set, set)
	return c.JSON(http.StatusOK, CheckResponse{Problems: append(object.Problems{}, problems...)})
}

func (s *Server) diffSet(c echo.Context) error {
	set, err := readSet(c)
	if err != nil {
		return err
	}
	config, err := s.current(c.Request().Context())
	if err != nil {
		return err
	}
	set = keepDrained(config.Set, set)
	return c.JSON(http.StatusOK, DiffResponse{From: config.Generation, Changes: changes(config.Set, set)})
}

func readSet(c echo.Context) (*object.Set, error) {
	var request SetRequest
	if err := readJSON(c, &request); err != nil {
		return nil, err
	}
	if request.Set == nil {
		return nil, newError(CodeInvalid, "set is missing")
	}
	return request.Set, nil
}

// problems returns what forbids to publish next after base.
func (s *Server) problems(base, next *object.Set) object.Problems {
	return append(next.Check(), object.CheckChange(base, next, s.options.Now())...)
}

func (s *Server) publish(c echo.Context) error {
	var request PublishRequest
	if err := readJSON(c, &request); err != nil {
		return err
	}
	if (request.Set == nil) == (request.Delta == nil) {
		return newError(CodeInvalid, "give either set or delta")
	}
	base, err := s.generation(c.Request().Context(), request.Base)
	if err != nil {
		return err
	}
	next := request.Set
	if request.Delta != nil {
		if next, err = request.Delta.Apply(base); err != nil {
			return newError(CodeInvalid, "the delta does not start from generation %d", request.Base)
		}
	}
	if problems := s.problems(base, next); len(problems) > 0 {
		return problemsError(problems)
	}
	return s.put(c, "publish", request.Base, keepDrained(base, next))
}

func problemsError(problems object.Problems) *Error {
	return &Error{Code: CodeProblems, Message: "the set has problems; nothing was published", Problems: problems}
}

// revert publishes the content of an older generation. Rules that need a clock
// don't apply: a move whose deadline has passed has an end on record.
func (s *Server) revert(c echo.Context) error {
	var request RevertRequest
	if err := readJSON(c, &request); err != nil {
		return err
	}
	ctx := c.Request().Context()
	base, err := s.generation(ctx, request.Base)
	if err != nil {
		return err
	}
	old, err := s.generation(ctx, request.Generation)
	if err != nil {
		return err
	}
	next := keepAttempts(base, old)
	if problems := next.Check(); len(problems) > 0 {
		return problemsError(problems)
	}
	return s.put(c, "revert", request.Base, next)
}

// put publishes a checked set and answers.
func (s *Server) put(c echo.Context, action string, base uint64, set *object.Set) error {
	ctx := c.Request().Context()
	operator, _ := c.Get(operatorKey).(string)
	generation, err := s.options.Backend.Publish(ctx, base, set, operator)
	var conflict *GenerationConflict
	if errors.As(err, &conflict) {
		return s.conflict(ctx, base, conflict.Current, set)
	}
	if err != nil {
		return err
	}
	s.audit(operator, action, generation, "")
	return c.JSON(http.StatusOK, PublishResponse{Generation: generation, Digest: set.Digest()})
}

func (s *Server) audit(operator, action string, generation uint64, target string) {
	fields := eventlog.Fields{"operator": operator, "action": action, "generation": generation}
	if target != "" {
		fields["target"] = target
	}
	s.options.Log.Emit(eventlog.OperatorAction, fields)
}

// conflict describes what was published since base. A publication on base can
// only have become generation base+1, so that generation tells whether an
// earlier try of the request took effect.
func (s *Server) conflict(ctx context.Context, base, current uint64, wanted *object.Set) *Error {
	details := &Conflict{Base: base, Current: current, Changes: []object.Change{}, Digest: wanted.Digest()}
	answer := newError(CodeConflict, "generation %d is current, not %d; nothing was published", current, base)
	answer.Conflict = details
	next, err := s.generation(ctx, base+1)
	if err == nil && next.Digest() == details.Digest {
		details.Published = base + 1
	}
	before, errBefore := s.generation(ctx, base)
	after, errAfter := s.generation(ctx, current)
	details.Unknown = errors.Join(err, errBefore, errAfter) != nil
	if errBefore == nil && errAfter == nil {
		details.Changes = changes(before, after)
	}
	return answer
}

func (s *Server) drain(c echo.Context) error {
	return s.setLeaving(c, "drain", true)
}

func (s *Server) undrain(c echo.Context) error {
	return s.setLeaving(c, "undrain", false)
}

// setLeaving sets or clears the mark of a target. It starts again from the
// current generation when another operator publishes in between, since the mark
// depends on nothing else in the set.
func (s *Server) setLeaving(c echo.Context, action string, leaving bool) error {
	ctx := c.Request().Context()
	operator, _ := c.Get(operatorKey).(string)
	name := c.Param("name")
	config, err := s.current(ctx)
	if err != nil {
		return err
	}
	for range maxDrainTries {
		next, changed, err := withLeaving(config.Set, name, leaving)
		if err != nil {
			return err
		}
		if !changed {
			return c.JSON(http.StatusOK, PublishResponse{Generation: config.Generation, Digest: next.Digest(), Unchanged: true})
		}
		generation, err := s.options.Backend.Publish(ctx, config.Generation, next, operator)
		var conflict *GenerationConflict
		if err == nil {
			s.audit(operator, action, generation, name)
			return c.JSON(http.StatusOK, PublishResponse{Generation: generation, Digest: next.Digest()})
		}
		if !errors.As(err, &conflict) {
			return err
		}
		config.Generation = conflict.Current
		if config.Set, err = s.generation(ctx, conflict.Current); err != nil {
			return err
		}
	}
	return newError(CodeUnavailable, "other operators published %d times meanwhile; nothing was changed", maxDrainTries)
}

// withLeaving returns a copy of the set with the mark of one target changed.
func withLeaving(set *object.Set, name string, leaving bool) (next *object.Set, changed bool, err error) {
	i := slices.IndexFunc(set.Targets, func(t object.Target) bool { return t.Name == name })
	if i < 0 {
		return nil, false, newError(CodeNotFound, "target %q does not exist", name)
	}
	if set.Targets[i].Leaving == leaving {
		return set, false, nil
	}
	next = set.Canonical()
	for j := range next.Targets {
		if next.Targets[j].Name == name {
			next.Targets[j].Leaving = leaving
		}
	}
	return next, true, nil
}

// keepDrained copies the marks of drained targets from base. Files of operators
// don't hold the marks, so a publication of an unrelated change would otherwise
// send work to a target that is about to be stopped. A target with another
// address is another server and loses the mark.
func keepDrained(base, next *object.Set) *object.Set {
	drained := map[string]string{}
	for _, t := range base.Targets {
		if t.Leaving {
			drained[t.Name] = t.Address
		}
	}
	out := next.Canonical()
	for i := range out.Targets {
		t := &out.Targets[i]
		if address, ok := drained[t.Name]; ok && address == t.Address {
			t.Leaving = true
		}
	}
	return out
}

// keepAttempts copies attempts of moves from base where they are higher, so
// that a revert does not start an attempt again that was reversed.
func keepAttempts(base, old *object.Set) *object.Set {
	attempts := map[string]int{}
	for _, m := range base.Moves {
		attempts[m.Name] = m.Attempt
	}
	out := old.Canonical()
	for i := range out.Moves {
		m := &out.Moves[i]
		m.Attempt = max(m.Attempt, attempts[m.Name])
	}
	return out
}
