#include <Poco/JSON/Array.h>
#include <Poco/JSON/Stringifier.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

#include "cli/command_context.hpp"
#include "cli/command_line.hpp"
#include "cli/exit_code.hpp"
#include "dockpoint/config/fleet_config.hpp"
#include "dockpoint/core/json_reader.hpp"

/// `dockpoint config validate|apply|show|history|watch`.
namespace dockpoint {
namespace {

constexpr std::chrono::milliseconds kWatchInterval{500};
constexpr const char* kConfigurationPath = "/admin/v1/configuration";
constexpr int kConflictStatus = 409;

Result<std::string> read_file(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return fail(ResultCode::kNotFound, path + ": cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Reads and validates a configuration file.
Result<Poco::JSON::Object::Ptr> read_configuration(const std::string& path) {
  if (path.empty()) {
    return fail(ResultCode::kMissingField, "--file FILE is required");
  }
  BOOST_LEAF_AUTO(text, read_file(path));
  BOOST_LEAF_CHECK(parse_fleet_config(text));
  return parse_json_object(text);
}

std::string value_text(const Poco::Dynamic::Var& value) {
  std::ostringstream out;
  Poco::JSON::Stringifier::stringify(value, out);
  return out.str();
}

/// Prints every path at which two documents differ.
void print_differences(const std::string& json_path, const Poco::Dynamic::Var& theirs,
                       const Poco::Dynamic::Var& ours) {
  if (value_text(theirs) == value_text(ours)) {
    return;
  }
  const auto is_object = [](const Poco::Dynamic::Var& value) {
    return value.type() == typeid(Poco::JSON::Object::Ptr);
  };
  if (!is_object(theirs) || !is_object(ours)) {
    std::printf("  %s: in force %s, yours %s\n", json_path.c_str(), value_text(theirs).c_str(),
                value_text(ours).c_str());
    return;
  }
  const auto& left = theirs.extract<Poco::JSON::Object::Ptr>();
  const auto& right = ours.extract<Poco::JSON::Object::Ptr>();
  std::set<std::string> keys;
  for (const auto& object : {left, right}) {
    const std::vector<std::string> names = object->getNames();
    keys.insert(names.begin(), names.end());
  }
  for (const std::string& key : keys) {
    print_differences(json_path.empty() ? key : json_path + "." + key, left->get(key),
                      right->get(key));
  }
}

/// Converts arrays of named entries to objects keyed by name, so that each difference is shown
/// by entry name.
Poco::Dynamic::Var keyed_by_name(const Poco::Dynamic::Var& value) {
  if (value.type() == typeid(Poco::JSON::Array::Ptr)) {
    const auto& array = value.extract<Poco::JSON::Array::Ptr>();
    Poco::JSON::Object::Ptr entries = new Poco::JSON::Object;
    for (unsigned index = 0; index < array->size(); ++index) {
      if (!array->isObject(index) || !array->getObject(index)->has("name")) {
        return value;
      }
      entries->set(array->getObject(index)->getValue<std::string>("name"), array->getObject(index));
    }
    return entries;
  }
  if (value.type() == typeid(Poco::JSON::Object::Ptr)) {
    const auto& object = value.extract<Poco::JSON::Object::Ptr>();
    Poco::JSON::Object::Ptr copy = new Poco::JSON::Object;
    for (const std::string& key : object->getNames()) {
      copy->set(key, keyed_by_name(object->get(key)));
    }
    return copy;
  }
  return value;
}

int validate(CommandContext& context) {
  const std::optional<Error> error =
      error_of([&] { return read_configuration(context.options.file); });
  if (error) {
    std::fprintf(stderr, "error: %s: %s\n", context.options.file.c_str(), error->message.c_str());
    return kExitSettings;
  }
  std::printf("%s: valid\n", context.options.file.c_str());
  return kExitOk;
}

int show(CommandContext& context) {
  const auto answer = request_or_report(context, "GET", kConfigurationPath);
  if (!answer) {
    return kExitFailure;
  }
  if (context.options.json_output) {
    return print_json(*answer);
  }
  std::printf("# revision %s by %s\n", answer->json->get("revision").toString().c_str(),
              answer->json->optValue<std::string>("author", "").c_str());
  if (answer->json->isObject("configuration")) {
    answer->json->getObject("configuration")->stringify(std::cout, 2);
    std::cout << "\n";
  }
  return kExitOk;
}

int history(CommandContext& context) {
  const auto answer =
      request_or_report(context, "GET", std::string(kConfigurationPath) + "/history");
  if (!answer) {
    return kExitFailure;
  }
  if (context.options.json_output) {
    return print_json(*answer);
  }
  for (const Poco::JSON::Object::Ptr& entry : response_data(*answer)) {
    std::printf("%6s  %-20s %s\n", entry->get("revision").toString().c_str(),
                entry->getValue<std::string>("author").c_str(),
                entry->getValue<std::string>("change_id").c_str());
  }
  return kExitOk;
}

/// Prints the differences between the active configuration and a rejected change.
void print_conflict(CommandContext& context, const Poco::JSON::Object::Ptr& ours) {
  const auto current = request_or_report(context, "GET", kConfigurationPath);
  if (!current || !current->json->isObject("configuration")) {
    return;
  }
  std::printf("In force is revision %s by %s. It differs from yours in:\n",
              current->json->get("revision").toString().c_str(),
              current->json->optValue<std::string>("author", "").c_str());
  print_differences("", keyed_by_name(current->json->get("configuration")),
                    keyed_by_name(Poco::Dynamic::Var(ours)));
}

int apply(CommandContext& context) {
  Poco::JSON::Object::Ptr configuration;
  const std::optional<Error> invalid = error_of([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(configuration, read_configuration(context.options.file));
    return {};
  });
  if (invalid) {
    std::fprintf(stderr, "error: %s: %s\n", context.options.file.c_str(), invalid->message.c_str());
    return kExitSettings;
  }
  long base = context.options.base_revision;
  if (base < 0) {
    const auto current = request_or_report(context, "GET", kConfigurationPath);
    if (!current) {
      return kExitFailure;
    }
    base = current->json->getValue<long>("revision");
  }
  Poco::JSON::Object change;
  change.set("base_revision", base);
  change.set("author", context.options.author.empty() ? "operator" : context.options.author);
  change.set("configuration", configuration);
  std::optional<ApiClient::Answer> answer;
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(answer, context.client.send("POST", kConfigurationPath, to_json(change)));
    return {};
  });
  if (error) {
    return report_failure(error->message);
  }
  if (!answer->ok()) {
    report_failure(answer->error_text());
    if (answer->status == kConflictStatus) {
      print_conflict(context, configuration);
    }
    return kExitFailure;
  }
  if (context.options.json_output) {
    return print_json(*answer);
  }
  std::printf("revision %s is in force\n", answer->json->get("revision").toString().c_str());
  return kExitOk;
}

int watch(CommandContext& context) {
  long seen = -1;
  int printed = 0;
  while (context.options.count == 0 || printed < context.options.count) {
    const auto answer = request_or_report(context, "GET", kConfigurationPath);
    if (!answer) {
      return kExitFailure;
    }
    const long revision = answer->json->getValue<long>("revision");
    if (revision != seen) {
      std::printf("revision %ld by %s\n", revision,
                  answer->json->optValue<std::string>("author", "").c_str());
      std::fflush(stdout);
      seen = revision;
      ++printed;
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
  return kExitOk;
}

}  // namespace

int run_config_command(const std::string& action, CommandContext& context) {
  if (action == "validate") {
    return validate(context);
  }
  if (action == "apply") {
    return apply(context);
  }
  if (action == "show") {
    return show(context);
  }
  if (action == "history") {
    return history(context);
  }
  if (action == "watch") {
    return watch(context);
  }
  usage_error("config takes validate, apply, show, history or watch");
}

}  // namespace dockpoint
