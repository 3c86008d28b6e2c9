package operator

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/claim"
	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// listClaims gives the claims that are not done, oldest first.
func (s *Server) listClaims(c echo.Context) error {
	limit, err := readLimit(c)
	if err != nil {
		return err
	}
	ctx, cancel := bounded(c, s.Limits.ChangeTimeout)
	defer cancel()
	records, err := s.Claims.List(ctx)
	if err != nil {
		return storeError("list claims", err)
	}
	if tenant := c.QueryParam(operator.ParameterTenant); tenant != "" {
		records = slices.DeleteFunc(records, func(record claim.Record) bool { return record.Tenant != tenant })
	}
	slices.SortFunc(records, func(a, b claim.Record) int {
		return cmp.Or(a.CreatedAt.Compare(b.CreatedAt), cmp.Compare(a.ClaimID, b.ClaimID))
	})
	list := operator.ClaimList{Claims: []operator.Claim{}, Total: len(records)}
	states := s.nodeStates()
	for _, record := range records[:min(limit, len(records))] {
		list.Claims = append(list.Claims, claimOf(&record, states))
	}
	return c.JSON(http.StatusOK, list)
}

// getClaim gives the claim of one key.
func (s *Server) getClaim(c echo.Context) error {
	tenant, key, err := readClaimName(c)
	if err != nil {
		return err
	}
	ctx, cancel := bounded(c, s.Limits.ChangeTimeout)
	defer cancel()
	record, err := s.Claims.Lookup(ctx, tenant, key)
	if err != nil {
		return readClaimError(tenant, key, err)
	}
	return c.JSON(http.StatusOK, claimOf(&record, s.nodeStates()))
}

// removeClaim gives a key back.
func (s *Server) removeClaim(c echo.Context) error {
	tenant, key, err := readClaimName(c)
	if err != nil {
		return err
	}
	author := c.QueryParam(operator.ParameterAuthor)
	if err := checkNotes(author, ""); err != nil {
		return err
	}
	claimID := c.QueryParam(operator.ParameterClaimID)
	if claimID == "" {
		return invalid(operator.ParameterClaimID, "required: the id of the claim to be removed")
	}
	ctx, cancel := bounded(c, s.Limits.ChangeTimeout)
	defer cancel()
	if err := s.Claims.Remove(ctx, tenant, key, claimID); err != nil {
		return removeClaimError(tenant, key, err)
	}
	s.Logger.Info("claim removed by operator", "tenant", tenant, "key", key, "claim", claimID, "author", author)
	return c.JSON(http.StatusOK, operator.ClaimRemoval{Tenant: tenant, Key: key, ClaimID: claimID})
}

// readClaimName reads the parameters that name a claim.
func readClaimName(c echo.Context) (tenant, key string, err error) {
	tenant, key = c.QueryParam(operator.ParameterTenant), c.QueryParam(operator.ParameterKey)
	if tenant == "" || len(tenant) > claim.MaxKeyBytes {
		return "", "", invalid(operator.ParameterTenant, fmt.Sprintf("want 1 to %d bytes", claim.MaxKeyBytes))
	}
	if key == "" || len(key) > claim.MaxKeyBytes {
		return "", "", invalid(operator.ParameterKey, fmt.Sprintf("want 1 to %d bytes", claim.MaxKeyBytes))
	}
	return tenant, key, nil
}

// readLimit reads how many claims may be listed.
func readLimit(c echo.Context) (int, error) {
	given := c.QueryParam(operator.ParameterLimit)
	if given == "" {
		return operator.DefaultListedClaims, nil
	}
	limit, err := strconv.Atoi(given)
	if err != nil || limit < 1 || limit > operator.MaxListedClaims {
		return 0, invalid(operator.ParameterLimit, fmt.Sprintf("want 1 to %d", operator.MaxListedClaims))
	}
	return limit, nil
}

// nodeStates returns the states of the known nodes.
func (s *Server) nodeStates() map[target.NodeID]string {
	states := make(map[target.NodeID]string)
	for _, node := range s.Members.Nodes() {
		states[node.ID] = node.State
	}
	return states
}

func claimOf(record *claim.Record, states map[target.NodeID]string) operator.Claim {
	return operator.Claim{
		Tenant:     record.Tenant,
		Key:        record.Key,
		ClaimID:    record.ClaimID,
		State:      string(record.State),
		Node:       record.Node,
		NodeState:  states[record.Node],
		CreatedAt:  record.CreatedAt,
		FinishedAt: record.FinishedAt,
		AgeMS:      time.Since(record.CreatedAt).Milliseconds(),
	}
}

// readClaimError tells why a claim could not be read.
func readClaimError(tenant, key string, err error) error {
	if errors.Is(err, configstore.ErrNotFound) {
		return notFound(operator.ParameterKey, fmt.Sprintf("tenant %q has no claim of key %q", tenant, key))
	}
	return storeError("get claim", err)
}

// removeClaimError tells why a claim was not removed, or may not have been.
func removeClaimError(tenant, key string, err error) error {
	switch {
	case errors.Is(err, configstore.ErrNotFound):
		return readClaimError(tenant, key, err)
	case errors.Is(err, claim.ErrOtherClaim), errors.Is(err, claim.ErrClaimChanged):
		return keptClaim(operator.ReasonConflict, err)
	case errors.Is(err, claim.ErrClaimDone):
		return keptClaim(operator.ReasonClaimDone, err)
	case errors.Is(err, claim.ErrClaimFresh):
		return keptClaim(operator.ReasonClaimFresh, err)
	case errors.Is(err, configstore.ErrUnknown), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return &outcome.Error{
			Step: "remove claim", Peer: storePeer, Outcome: outcome.Unknown, Reason: outcome.ReasonStoreAway, Cause: err,
		}
	default:
		return storeError("remove claim", err)
	}
}

// keptClaim tells why a claim stays.
func keptClaim(reason outcome.Reason, err error) error {
	kept := newProblem(http.StatusConflict, reason, err.Error())
	var typed *outcome.Error
	if errors.As(err, &typed) {
		kept.problem.Detail = typed.Cause.Error()
		kept.problem.Step, kept.problem.Peer = typed.Step, typed.Peer
		kept.problem.RetryAfterMS = typed.RetryAfter.Milliseconds()
	}
	return kept
}
