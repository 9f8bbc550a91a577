#pragma once

#include <cstdint>
#include <string>

#include "dockpoint/core/error.hpp"

namespace dockpoint {

/// Completion endpoint used by a request.
enum class CompletionKind { kChat, kText };

/// Fields that dockpoint and the emulator read from the body of a completion request. All other
/// fields are forwarded without being interpreted.
struct CompletionRequest {
  CompletionKind kind = CompletionKind::kChat;
  std::string model;
  std::string prompt;            ///< Complete input text of the model.
  std::uint64_t prefix_key = 0;  ///< Hash of the prompt prefix that requests are likely to share.
  bool stream = false;
  int maximum_tokens = 0;       ///< 0: the engine's default.
  double estimated_tokens = 0;  ///< Prompt and completion tokens.
};

inline constexpr std::string_view kChatPath = "/v1/chat/completions";
inline constexpr std::string_view kTextPath = "/v1/completions";

/// Parses and validates a body; the error names the invalid field.
Result<CompletionRequest> parse_completion_request(const std::string& body, CompletionKind kind);

/// @return the estimated number of tokens in the text.
int estimate_tokens(std::string_view text);

}  // namespace dockpoint
