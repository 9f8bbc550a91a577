#include <Poco/JSON/Array.h>

#include <cstdio>

#include "cli/command_context.hpp"
#include "cli/command_line.hpp"
#include "cli/exit_code.hpp"

/// `dockpoint engine list` and `dockpoint node list|drain`.
namespace dockpoint {
namespace {

int list_engines(CommandContext& context) {
  const auto answer = request_or_report(context, "GET", "/admin/v1/engines");
  if (!answer) {
    return kExitFailure;
  }
  if (context.options.json_output) {
    return print_json(*answer);
  }
  std::printf("%-16s %-22s %-12s %6s %8s %8s %8s  %s\n", "NAME", "ADDRESS", "MODEL", "SLOTS",
              "ONLINE", "BATCH", "WAITING", "STATE");
  for (const Poco::JSON::Object::Ptr& engine : response_data(*answer)) {
    const auto number = [&engine](const char* key) { return engine->getValue<int>(key); };
    const std::string state = engine->getValue<bool>("leaving")  ? "leaving"
                              : engine->getValue<bool>("usable") ? "usable"
                                                                 : "ejected";
    std::printf(
        "%-16s %-22s %-12s %6d %8d %8d %8d  %s\n", engine->getValue<std::string>("name").c_str(),
        engine->getValue<std::string>("address").c_str(),
        engine->getValue<std::string>("model").c_str(), number("slots"), number("running_online"),
        number("running_batch"), number("waiting_online") + number("waiting_batch"), state.c_str());
  }
  return kExitOk;
}

int list_nodes(CommandContext& context) {
  const auto answer = request_or_report(context, "GET", "/admin/v1/nodes");
  if (!answer) {
    return kExitFailure;
  }
  if (context.options.json_output) {
    return print_json(*answer);
  }
  std::printf("%-16s %-8s %-16s %-22s %s\n", "NAME", "STATE", "ZONE", "API", "PEER");
  for (const Poco::JSON::Object::Ptr& node : response_data(*answer)) {
    const auto text = [&node](const char* key) { return node->getValue<std::string>(key); };
    std::printf("%-16s %-8s %-16s %-22s %s\n", text("name").c_str(), text("state").c_str(),
                text("zone").c_str(), text("api_address").c_str(), text("peer_address").c_str());
  }
  return kExitOk;
}

int drain(CommandContext& context) {
  const auto answer = request_or_report(context, "POST", "/admin/v1/drain");
  if (!answer) {
    return kExitFailure;
  }
  std::printf("%s drains\n", context.options.node.c_str());
  return kExitOk;
}

}  // namespace

int run_fleet_command(const std::string& object, const std::string& action,
                      CommandContext& context) {
  if (object == "engine" && action == "list") {
    return list_engines(context);
  }
  if (object == "node" && action == "list") {
    return list_nodes(context);
  }
  if (object == "node" && action == "drain") {
    return drain(context);
  }
  usage_error(object + (object == "engine" ? " takes list" : " takes list or drain"));
}

}  // namespace dockpoint
