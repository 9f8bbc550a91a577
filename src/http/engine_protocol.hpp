#pragma once

#include <string>

#include "dockpoint/routing/engine_load.hpp"
#include "http/http_session.hpp"

/// What dockpoint says to engines and reads from them, beyond the OpenAI-compatible paths.
namespace dockpoint {

inline constexpr const char* kRequestIdHeader = "x-request-id";
inline constexpr const char* kPriorityClassHeader = "x-priority-class";  ///< `online` or `batch`.
inline constexpr const char* kPriorityHeader = "x-priority";             ///< 0 to 100.
inline constexpr const char* kEpochHeader = "x-fencing-epoch";
inline constexpr const char* kResumeHeader = "x-resume-from";  ///< Index of the next token.

/// What an engine's whole answer means for the request.
enum class EngineAnswer {
  kFinal,    ///< A success, or an error that another attempt would not change.
  kNotRun,   ///< The engine says that it did not run the request.
  kUnknown,  ///< The engine failed; the request may have run.
};

/// @param request_id that was sent; an answer to another request counts as lost.
EngineAnswer classify_answer(const HttpAnswer& answer, const std::string& request_id);

/// Reads the answer of `GET /load`.
Result<EngineLoad> parse_engine_load(const std::string& json);

}  // namespace dockpoint
