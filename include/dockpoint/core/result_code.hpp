#pragma once

#include <array>
#include <string_view>

/// Numbered result codes. The table in docs/RESULT_CODES.md lists the same codes; a test compares
/// the two.
namespace dockpoint {

/// Every outcome that dockpoint reports to a caller, an operator or a log line.
enum class ResultCode {
  kOk = 0,
  // 1xx: the request itself is at fault.
  kMalformedBody = 100,
  kMissingField = 101,
  kInvalidField = 102,
  kBodyTooLarge = 103,
  kNotFound = 104,
  kUnknownModel = 105,
  kConflict = 106,
  kMethodNotAllowed = 107,
  kIdempotencyMismatch = 108,
  // 2xx: dockpoint does not run the request now.
  kNoEligibleEngine = 200,
  kOverloaded = 201,
  kDeadlineExceeded = 202,
  kDraining = 203,
  kPlatformUnavailable = 204,
  kNotOwner = 205,
  kRetryBudgetExhausted = 206,
  // 3xx: an engine or a peer failed.
  kEngineUnreachable = 300,
  kEngineRefused = 301,
  kStreamInterrupted = 302,
  kOutcomeUnknown = 303,
  kPeerUnreachable = 304,
  kAlreadyAttempted = 305,
  // 4xx: settings and configuration.
  kSettingsInvalid = 400,
  kConfigurationInvalid = 401,
  kRevisionConflict = 402,
  // 9xx: a fault in dockpoint itself.
  kInternal = 900,
};

/// Whether the request ran on an engine, as far as known.
enum class RunState { kNotRun, kUnknown, kCompleted };

/// One row of the table of result codes.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;     ///< Stable name, as in error bodies and logs.
  int http_status;           ///< Status of an HTTP response that carries the code.
  bool retry_after;          ///< Whether a later retry may succeed.
  std::string_view meaning;  ///< One sentence for the docs.
};

/// @return the whole table, in ascending order of code.
const std::array<ResultCodeInfo, 27>& result_code_table();

/// @return the row of `code`.
const ResultCodeInfo& describe(ResultCode code);

/// @return `not_run`, `unknown` or `completed`.
std::string_view to_string(RunState state);

}  // namespace dockpoint
