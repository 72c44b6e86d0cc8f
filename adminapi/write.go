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

// maxDrainTries bounds how often drain and undrain try to publish when other
// operators publish at the same time.
const maxDrainTries = 5

func (s *Server) check(c echo.Context) error {
	set, err := readSet(c)
	if err != nil {
		return err
	}
	config, err := s.currentConfig(c.Request().Context())
	if err != nil {
		return err
	}
	problems := s.checkPublication(config.Set, set)
	return c.JSON(http.StatusOK, CheckResponse{Problems: append(object.Problems{}, problems...)})
}

func (s *Server) diffSet(c echo.Context) error {
	set, err := readSet(c)
	if err != nil {
		return err
	}
	config, err := s.currentConfig(c.Request().Context())
	if err != nil {
		return err
	}
	set = carryOverDrainMarks(config.Set, set)
	return c.JSON(http.StatusOK, DiffResponse{From: config.Generation, Changes: diffSets(config.Set, set)})
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

// checkPublication returns the problems that prevent next from being published
// on top of base.
func (s *Server) checkPublication(base, next *object.Set) object.Problems {
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
	base, err := s.generationSet(c.Request().Context(), request.Base)
	if err != nil {
		return err
	}
	next := request.Set
	if request.Delta != nil {
		if next, err = request.Delta.Apply(base); err != nil {
			return newError(CodeInvalid, "the delta does not start from generation %d", request.Base)
		}
	}
	if problems := s.checkPublication(base, next); len(problems) > 0 {
		return problemsError(problems)
	}
	return s.publishSet(c, "publish", request.Base, carryOverDrainMarks(base, next))
}

func problemsError(problems object.Problems) *Error {
	return &Error{Code: CodeProblems, Message: "the set has problems; nothing was published", Problems: problems}
}

// revert publishes the content of an older generation. The rules that need a
// clock (object.CheckChange) do not apply: a move whose deadline has passed
// already has a recorded end.
func (s *Server) revert(c echo.Context) error {
	var request RevertRequest
	if err := readJSON(c, &request); err != nil {
		return err
	}
	ctx := c.Request().Context()
	base, err := s.generationSet(ctx, request.Base)
	if err != nil {
		return err
	}
	old, err := s.generationSet(ctx, request.Generation)
	if err != nil {
		return err
	}
	next := carryOverAttempts(base, old)
	if problems := next.Check(); len(problems) > 0 {
		return problemsError(problems)
	}
	return s.publishSet(c, "revert", request.Base, next)
}

// publishSet publishes a checked set, emits the audit event and writes the
// response.
func (s *Server) publishSet(c echo.Context, action string, base uint64, set *object.Set) error {
	ctx := c.Request().Context()
	operator, _ := c.Get(operatorKey).(string)
	generation, err := s.options.Backend.Publish(ctx, base, set, operator)
	var conflict *GenerationConflictError
	if errors.As(err, &conflict) {
		return s.conflictError(ctx, base, conflict.Current, set)
	}
	if err != nil {
		return err
	}
	s.emitAudit(operator, action, generation, "")
	return c.JSON(http.StatusOK, PublishResponse{Generation: generation, Digest: set.Digest()})
}

func (s *Server) emitAudit(operator, action string, generation uint64, target string) {
	fields := eventlog.Fields{"operator": operator, "action": action, "generation": generation}
	if target != "" {
		fields["target"] = target
	}
	s.options.Log.Emit(eventlog.OperatorAction, fields)
}

// conflictError returns an error that describes what was published since base. A
// set published on base can only have become generation base+1. If that
// generation has the requested content, an earlier try of the request took
// effect.
func (s *Server) conflictError(ctx context.Context, base, current uint64, requested *object.Set) *Error {
	details := &Conflict{Base: base, Current: current, Changes: []object.Change{}, Digest: requested.Digest()}
	apiErr := newError(CodeConflict, "generation %d is current, not %d; nothing was published", current, base)
	apiErr.Conflict = details
	next, err := s.generationSet(ctx, base+1)
	if err == nil && next.Digest() == details.Digest {
		details.Published = base + 1
	}
	before, errBefore := s.generationSet(ctx, base)
	after, errAfter := s.generationSet(ctx, current)
	details.Unknown = errors.Join(err, errBefore, errAfter) != nil
	if errBefore == nil && errAfter == nil {
		details.Changes = diffSets(before, after)
	}
	return apiErr
}

func (s *Server) drain(c echo.Context) error {
	return s.publishLeaving(c, "drain", true)
}

func (s *Server) undrain(c echo.Context) error {
	return s.publishLeaving(c, "undrain", false)
}

// publishLeaving sets or clears the drain mark (Target.Leaving) of a target. When
// another operator publishes at the same time, it tries again on the new current
// generation, since the mark does not depend on the rest of the set.
func (s *Server) publishLeaving(c echo.Context, action string, leaving bool) error {
	ctx := c.Request().Context()
	operator, _ := c.Get(operatorKey).(string)
	name := c.Param("name")
	config, err := s.currentConfig(ctx)
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
		var conflict *GenerationConflictError
		if err == nil {
			s.emitAudit(operator, action, generation, name)
			return c.JSON(http.StatusOK, PublishResponse{Generation: generation, Digest: next.Digest()})
		}
		if !errors.As(err, &conflict) {
			return err
		}
		config.Generation = conflict.Current
		if config.Set, err = s.generationSet(ctx, conflict.Current); err != nil {
			return err
		}
	}
	return newError(CodeUnavailable, "other operators published %d times meanwhile; nothing was changed", maxDrainTries)
}

// withLeaving returns a copy of the set with the drain mark of one target set to
// leaving. If it has that value already, it returns the set itself and false.
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

// carryOverDrainMarks returns next with the drain marks of base. The files of
// operators do not contain the marks, so without this, publishing an unrelated
// change would send requests to a target that is about to be stopped. A target
// whose address changed is a different server and does not keep the mark.
func carryOverDrainMarks(base, next *object.Set) *object.Set {
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

// carryOverAttempts returns old with the higher attempt number of old and base
// for each move, so that a revert does not restart an attempt that was reversed.
func carryOverAttempts(base, old *object.Set) *object.Set {
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
