#include "http/completion_request.hpp"

#include <algorithm>

#include "dockpoint/core/hash.hpp"
#include "dockpoint/core/json_reader.hpp"

namespace dockpoint {
namespace {

constexpr int kBytesPerToken = 4;
constexpr int kMaximumAnswerTokens = 131'072;
constexpr int kDefaultAnswerTokens = 128;
/// Number of prompt bytes hashed as the prefix when there is no system message: such prompts share
/// at most their beginning.
constexpr std::size_t kPrefixBytes = 256;

/// Reads the text of a message: a string, or the concatenated text of its parts.
std::string message_text(ObjectReader& message) {
  if (!message.is_array("content")) {
    return message.text("content");
  }
  std::string text;
  for (ObjectReader& part : message.objects("content")) {
    text += part.text("text");
  }
  return text;
}

void read_messages(ObjectReader& root, CompletionRequest& request) {
  std::vector<ObjectReader> messages = root.objects("messages");
  if (messages.empty()) {
    root.report("messages", "must hold at least one message");
    return;
  }
  for (std::size_t index = 0; index < messages.size(); ++index) {
    const std::string role = messages[index].required_text("role");
    const std::string text = message_text(messages[index]);
    if (index == 0 && role == "system") {
      request.prefix_key = hash64(text);
    }
    request.prompt += role + ":" + text + "\n";
  }
}

}  // namespace

int estimate_tokens(std::string_view text) {
  return static_cast<int>(text.size() / kBytesPerToken) + 1;
}

Result<CompletionRequest> parse_completion_request(const std::string& body, CompletionKind kind) {
  BOOST_LEAF_AUTO(object, parse_json_object(body));
  Problems problems;
  ObjectReader root(object, "", problems);
  CompletionRequest request;
  request.kind = kind;
  request.model = root.required_text("model");
  request.stream = root.boolean("stream", false);
  const char* limit_key =
      root.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
  request.maximum_tokens = static_cast<int>(root.integer(limit_key, {1, kMaximumAnswerTokens}, 0));
  if (kind == CompletionKind::kChat) {
    read_messages(root, request);
  } else {
    request.prompt = root.required_text("prompt");
  }
  if (!problems.empty()) {
    const bool missing = problems.front().message == "is required";
    return fail(missing ? ResultCode::kMissingField : ResultCode::kInvalidField,
                summarize(problems), problems.front().place);
  }
  if (request.prefix_key == 0) {
    request.prefix_key = hash64(std::string_view(request.prompt).substr(0, kPrefixBytes));
  }
  const int answer = request.maximum_tokens > 0 ? request.maximum_tokens : kDefaultAnswerTokens;
  request.estimated_tokens = estimate_tokens(request.prompt) + answer;
  return request;
}

}  // namespace dockpoint
