#include <Poco/JSON/Array.h>

#include <cstdio>

#include "cli/command_context.hpp"
#include "cli/command_line.hpp"
#include "cli/exit_code.hpp"
#include "dockpoint/core/json_reader.hpp"
#include "http/online_handler.hpp"

/// `dockpoint request TEXT`: sends one online request and streams the response.
namespace dockpoint {
namespace {

std::string make_body(const CommandContext& context) {
  Poco::JSON::Object::Ptr message = new Poco::JSON::Object;
  message->set("role", "user");
  message->set("content", only_argument(context, "text"));
  Poco::JSON::Array::Ptr messages = new Poco::JSON::Array;
  messages->add(message);
  Poco::JSON::Object body;
  body.set("model", context.options.model);
  body.set("messages", messages);
  body.set("stream", true);
  if (context.options.maximum_tokens > 0) {
    body.set("max_tokens", context.options.maximum_tokens);
  }
  return to_json(body);
}

/// Prints the text that one event adds to the response. @return false if the event is an error.
bool print_event(const std::string& data) {
  bool good = false;
  error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(event, parse_json_object(data));
    Problems problems;
    ObjectReader reader(event, "", problems);
    good = !reader.has("error");
    if (!good) {
      std::fprintf(stderr, "\nerror: %s\n", reader.object("error").text("message").c_str());
    }
    for (ObjectReader& choice : reader.objects("choices")) {
      std::printf("%s", choice.object("delta").text("content").c_str());
    }
    std::fflush(stdout);
    return {};
  });
  return good;
}

}  // namespace

int run_request_command(CommandContext& context) {
  constexpr std::string_view kDataPrefix = "data: ";
  if (context.options.model.empty()) {
    usage_error("--model NAME is required");
  }
  ApiClient::Headers headers;
  if (!context.options.deadline_ms.empty()) {
    headers.emplace_back(kDeadlineHeader, context.options.deadline_ms);
  }
  if (!context.options.key.empty()) {
    headers.emplace_back(kIdempotencyHeader, context.options.key);
  }
  if (context.options.not_repeatable) {
    headers.emplace_back(kRepeatableHeader, "no");
  }
  bool done = false;
  std::string other;
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_CHECK(context.client.stream("POST", "/v1/chat/completions", make_body(context),
                                           headers, [&](const std::string& line) {
                                             if (line == "data: [DONE]") {
                                               done = true;
                                             } else if (line.starts_with(kDataPrefix)) {
                                               print_event(line.substr(kDataPrefix.size()));
                                             } else {
                                               other += line;
                                             }
                                           }));
    return {};
  });
  std::printf("\n");
  if (error) {
    return report_failure(error->message);
  }
  if (!done) {
    return other.empty() ? report_failure("the answer is not whole") : report_failure(other);
  }
  return kExitOk;
}

}  // namespace dockpoint
