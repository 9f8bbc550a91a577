#include "dockpoint/core/result_code.hpp"

#include <algorithm>

namespace dockpoint {
namespace {

constexpr std::array<ResultCodeInfo, 27> kTable{{
    {ResultCode::kOk, "ok", 200, false, "The request succeeded."},
    {ResultCode::kMalformedBody, "malformed_body", 400, false,
     "The body is not valid JSON, JSONL, UTF-8 or multipart, or it is nested too deeply."},
    {ResultCode::kMissingField, "missing_field", 400, false,
     "A required field or header is absent."},
    {ResultCode::kInvalidField, "invalid_field", 400, false,
     "A field or header has the wrong type or is out of range."},
    {ResultCode::kBodyTooLarge, "body_too_large", 413, false, "The body is over the limit."},
    {ResultCode::kNotFound, "not_found", 404, false, "The path, file or job does not exist."},
    {ResultCode::kUnknownModel, "unknown_model", 404, false, "No service has this model name."},
    {ResultCode::kConflict, "conflict", 409, false,
     "The object's state does not allow the action."},
    {ResultCode::kMethodNotAllowed, "method_not_allowed", 405, false,
     "The path exists, but not with this method."},
    {ResultCode::kIdempotencyMismatch, "idempotency_mismatch", 422, false,
     "The idempotency key was used before with different content."},
    {ResultCode::kNoEligibleEngine, "no_eligible_engine", 503, true,
     "No engine matches the service's selector, or all that match are leaving or ejected."},
    {ResultCode::kOverloaded, "overloaded", 429, true,
     "The queue is full or the wait would be longer than the deadline allows."},
    {ResultCode::kDeadlineExceeded, "deadline_exceeded", 504, false,
     "The deadline passed before the answer was complete."},
    {ResultCode::kDraining, "draining", 503, true, "This node is stopping and takes no new work."},
    {ResultCode::kPlatformUnavailable, "platform_unavailable", 503, true,
     "The platform's log did not confirm in time."},
    {ResultCode::kNotOwner, "not_owner", 503, true,
     "No node owns the job's partition at the moment, or ownership is moving."},
    {ResultCode::kRetryBudgetExhausted, "retry_budget_exhausted", 503, true,
     "The attempt failed and the retry budget allows no further one."},
    {ResultCode::kEngineUnreachable, "engine_unreachable", 502, true,
     "No connection to the engine could be made."},
    {ResultCode::kEngineRefused, "engine_refused", 502, true,
     "The engine refused the request without running it."},
    {ResultCode::kStreamInterrupted, "stream_interrupted", 502, false,
     "The engine's answer ended early and could not be resumed."},
    {ResultCode::kOutcomeUnknown, "outcome_unknown", 502, false,
     "The request was sent and its end is not known; it will not be sent again."},
    {ResultCode::kPeerUnreachable, "peer_unreachable", 503, true,
     "The node that owns the object did not answer."},
    {ResultCode::kAlreadyAttempted, "already_attempted", 409, false,
     "A request that must not be repeated was already sent under this idempotency key."},
    {ResultCode::kSettingsInvalid, "settings_invalid", 400, false,
     "A settings file or flag has an unknown key, wrong type or value out of range."},
    {ResultCode::kConfigurationInvalid, "configuration_invalid", 422, false,
     "The configuration document does not validate."},
    {ResultCode::kRevisionConflict, "revision_conflict", 409, false,
     "The configuration changed since the revision this change was made from."},
    {ResultCode::kInternal, "internal", 500, false, "A fault in dockpoint itself."},
}};

}  // namespace

const std::array<ResultCodeInfo, 27>& result_code_table() {
  return kTable;
}

const ResultCodeInfo& describe(ResultCode code) {
  const auto row = std::find_if(kTable.begin(), kTable.end(),
                                [code](const ResultCodeInfo& info) { return info.code == code; });
  return row == kTable.end() ? kTable.back() : *row;
}

std::string_view to_string(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kUnknown:
      return "unknown";
    case RunState::kCompleted:
      return "completed";
  }
  return "unknown";
}

}  // namespace dockpoint
