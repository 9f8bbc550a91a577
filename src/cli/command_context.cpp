#include "cli/command_context.hpp"

#include <Poco/JSON/Array.h>

#include <cstdio>

#include "cli/command_line.hpp"
#include "cli/exit_code.hpp"

namespace dockpoint {

int report_failure(const std::string& message) {
  std::fprintf(stderr, "error: %s\n", message.c_str());
  return kExitFailure;
}

int print_json(const ApiClient::Answer& answer) {
  std::printf("%s\n", answer.body.c_str());
  return kExitOk;
}

std::optional<ApiClient::Answer> request_or_report(CommandContext& context,
                                                   const std::string& method,
                                                   const std::string& path, const std::string& body,
                                                   const ApiClient::Headers& headers) {
  std::optional<ApiClient::Answer> answer;
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(answer, context.client.send(method, path, body, headers));
    return {};
  });
  if (error) {
    report_failure(error->message);
    return std::nullopt;
  }
  if (!answer->ok()) {
    report_failure(answer->error_text());
    return std::nullopt;
  }
  return answer;
}

std::vector<Poco::JSON::Object::Ptr> response_data(const ApiClient::Answer& answer) {
  std::vector<Poco::JSON::Object::Ptr> entries;
  const Poco::JSON::Array::Ptr data = answer.json->getArray("data");
  for (unsigned index = 0; !data.isNull() && index < data->size(); ++index) {
    entries.push_back(data->getObject(index));
  }
  return entries;
}

std::string only_argument(const CommandContext& context, const std::string& name) {
  if (context.arguments.size() != 1) {
    usage_error("exactly one " + name + " is expected");
  }
  return context.arguments.front();
}

}  // namespace dockpoint
