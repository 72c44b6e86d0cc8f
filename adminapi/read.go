package adminapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/marjoramflow/marjoramflow/object"
)

// readJSON decodes the request body, which must be one JSON value, into dst.
// Unknown keys are errors, so that a daemon does not publish only the part of a
// newer tool's request that it understands.
func readJSON(c echo.Context, dst any) error {
	d := json.NewDecoder(c.Request().Body)
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		return invalidBodyError(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return newError(CodeInvalid, "the request holds more than one JSON value")
	}
	return nil
}

// invalidBodyError returns the error response for a body that cannot be decoded.
func invalidBodyError(err error) error {
	if apiErr := toError(err); apiErr.Code == CodeInvalid {
		return apiErr
	}
	return newError(CodeInvalid, "the request is not valid: %v", err)
}

// generationParam reads a generation from a query parameter. given is false when
// the parameter is absent.
func generationParam(c echo.Context, name string) (generation uint64, given bool, err error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, false, nil
	}
	generation, err = strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, false, newError(CodeInvalid, "%s %q is not a generation", name, text)
	}
	return generation, true, nil
}

// currentConfig returns the configuration in force on this daemon. Set is never
// nil and Digest never empty.
func (s *Server) currentConfig(ctx context.Context) (Config, error) {
	config, err := s.options.Backend.Current(ctx)
	if err != nil {
		return Config{}, err
	}
	if config.Set == nil {
		config.Set = &object.Set{}
	}
	if config.Digest == "" {
		config.Digest = config.Set.Digest()
	}
	return config, nil
}

// generationSet returns the set of a generation. It calls the backend's store
// only for generations other than 0 and the one in force.
func (s *Server) generationSet(ctx context.Context, generation uint64) (*object.Set, error) {
	config, err := s.currentConfig(ctx)
	if err == nil && config.Generation == generation {
		return config.Set, nil
	}
	if generation == 0 {
		return &object.Set{}, nil
	}
	return s.options.Backend.Generation(ctx, generation)
}

func (s *Server) getSet(c echo.Context) error {
	ctx := c.Request().Context()
	generation, given, err := generationParam(c, "generation")
	if err != nil {
		return err
	}
	if !given {
		config, err := s.currentConfig(ctx)
		if err != nil {
			return err
		}
		config.Set = config.Set.Canonical()
		return c.JSON(http.StatusOK, config)
	}
	set, err := s.generationSet(ctx, generation)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Config{Generation: generation, Digest: set.Digest(), Set: set.Canonical()})
}

func (s *Server) listObjects(c echo.Context) error {
	config, err := s.currentConfig(c.Request().Context())
	if err != nil {
		return err
	}
	set := config.Set.Canonical()
	switch object.Kind(c.Param("kind")) {
	case object.KindService:
		return c.JSON(http.StatusOK, set.Services)
	case object.KindTarget:
		return c.JSON(http.StatusOK, set.Targets)
	case object.KindVersion:
		return c.JSON(http.StatusOK, set.Versions)
	case object.KindTier:
		return c.JSON(http.StatusOK, set.Tiers)
	case object.KindClientAccount:
		return c.JSON(http.StatusOK, set.ClientAccounts)
	case object.KindMove:
		return c.JSON(http.StatusOK, set.Moves)
	case object.KindIngress:
		return c.JSON(http.StatusOK, set.Ingresses)
	case object.KindEvacuation:
		return c.JSON(http.StatusOK, set.Evacuations)
	}
	return newError(CodeNotFound, "kind %q does not exist; kinds are %v", c.Param("kind"), object.Kinds())
}

func (s *Server) getObject(c echo.Context) error {
	config, err := s.currentConfig(c.Request().Context())
	if err != nil {
		return err
	}
	found := config.Set.Object(object.Kind(c.Param("kind")), c.Param("name"))
	if found == nil {
		return newError(CodeNotFound, "%s %q does not exist in generation %d", c.Param("kind"), c.Param("name"), config.Generation)
	}
	return c.JSON(http.StatusOK, found)
}

func (s *Server) diffGenerations(c echo.Context) error {
	ctx := c.Request().Context()
	from, given, err := generationParam(c, "from")
	if err != nil {
		return err
	}
	if !given {
		return newError(CodeInvalid, "from is missing")
	}
	to, given, err := generationParam(c, "to")
	if err != nil {
		return err
	}
	if !given {
		config, err := s.currentConfig(ctx)
		if err != nil {
			return err
		}
		to = config.Generation
	}
	before, err := s.generationSet(ctx, from)
	if err != nil {
		return err
	}
	after, err := s.generationSet(ctx, to)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, DiffResponse{From: from, To: to, Changes: diffSets(before, after)})
}

// diffSets returns the changes from before to after. The result is never nil, so
// that JSON encodes it as a list and not as null.
func diffSets(before, after *object.Set) []object.Change {
	return append([]object.Change{}, object.Diff(before, after)...)
}

func (s *Server) status(c echo.Context) error {
	ctx := c.Request().Context()
	config, err := s.currentConfig(ctx)
	if err != nil {
		return err
	}
	daemons, err := s.options.Backend.Daemons(ctx)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, newStatus(s.options.Daemon, config, daemons))
}

// newStatus returns the status in which Generation is the newest generation of
// this daemon and the reachable daemons. Digest is empty when this daemon does
// not have that generation.
func newStatus(daemon string, config Config, daemons []DaemonStatus) Status {
	status := Status{
		Daemon:      daemon,
		Generation:  config.Generation,
		Digest:      config.Digest,
		Daemons:     append([]DaemonStatus{}, daemons...),
		Behind:      []string{},
		Unreachable: []string{},
	}
	for _, d := range daemons {
		if d.Reachable && d.Generation > status.Generation {
			status.Generation = d.Generation
			status.Digest = ""
		}
	}
	for _, d := range daemons {
		switch {
		case !d.Reachable:
			status.Unreachable = append(status.Unreachable, d.Name)
		case d.Generation < status.Generation:
			status.Behind = append(status.Behind, d.Name)
		}
	}
	slices.Sort(status.Behind)
	slices.Sort(status.Unreachable)
	return status
}

// listHandler returns a handler that responds with the items that fetch returns,
// as a JSON list that is never null.
func listHandler[T any](fetch func(context.Context) ([]T, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		items, err := fetch(c.Request().Context())
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, append([]T{}, items...))
	}
}
