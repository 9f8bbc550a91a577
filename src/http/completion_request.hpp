#pragma once

#include <cstdint>
#include <string>

#include "dockpoint/core/error.hpp"

namespace dockpoint {

/// Which of the two completion interfaces a request uses.
enum class CompletionKind { kChat, kText };

/// What dockpoint and the emulator read from the body of a completion request. Everything else in
/// the body is passed on unread.
struct CompletionRequest {
  CompletionKind kind = CompletionKind::kChat;
  std::string model;
  std::string prompt;            ///< All text that the model reads.
  std::uint64_t prefix_key = 0;  ///< Hash of the part that requests are likely to share.
  bool stream = false;
  int maximum_tokens = 0;       ///< 0: the engine's default.
  double estimated_tokens = 0;  ///< Prompt and answer.
};

inline constexpr std::string_view kChatPath = "/v1/chat/completions";
inline constexpr std::string_view kTextPath = "/v1/completions";

/// Reads and checks a body; the error names the field at fault.
Result<CompletionRequest> parse_completion_request(const std::string& body, CompletionKind kind);

/// @return the number of tokens that the text is estimated to have.
int estimate_tokens(std::string_view text);

}  // namespace dockpoint
