#pragma once

#include <string>

#include "dockpoint/routing/engine_load.hpp"
#include "http/http_session.hpp"

/// Engine protocol extensions beyond the OpenAI-compatible API.
namespace dockpoint {

inline constexpr const char* kRequestIdHeader = "x-request-id";
inline constexpr const char* kPriorityClassHeader = "x-priority-class";  ///< `online` or `batch`.
inline constexpr const char* kPriorityHeader = "x-priority";             ///< 0 to 100.
inline constexpr const char* kEpochHeader = "x-fencing-epoch";
inline constexpr const char* kResumeHeader = "x-resume-from";  ///< Index of the next token.

/// Classification of an engine's complete response.
enum class EngineAnswer {
  kFinal,    ///< Success, or an error that a retry would not change.
  kNotRun,   ///< The engine reports that it did not run the request.
  kUnknown,  ///< The engine failed; the request may have run.
};

/// @param request_id the id sent with the request; a response with another id counts as lost.
EngineAnswer classify_answer(const HttpAnswer& answer, const std::string& request_id);

/// Parses the response to `GET /load`.
Result<EngineLoad> parse_engine_load(const std::string& json);

}  // namespace dockpoint
