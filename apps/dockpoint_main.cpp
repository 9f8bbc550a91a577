/// `dockpoint`: the command line of operators and callers.

#include <signal.h>

#include <cstdlib>

#include "cli/command_context.hpp"
#include "cli/command_line.hpp"
#include "cli/exit_code.hpp"

namespace {

constexpr const char* kUsage =
    "Usage: dockpoint COMMAND [OPTION ...]\n"
    "\n"
    "Commands:\n"
    "  config validate --file F      Check a configuration file without a node.\n"
    "  config apply --file F         Publish a configuration; prints its revision.\n"
    "  config show|history|watch     What is in force, was in force, or changes.\n"
    "  job submit --file F           Submit a batch job from a JSONL file.\n"
    "  job status|wait|cancel ID     Look at, wait for or stop a job.\n"
    "  job results ID                Print the results of a job, one JSON line an item.\n"
    "  job list                      The tenant's jobs.\n"
    "  engine list                   Engines with their load.\n"
    "  node list                     Nodes with their state.\n"
    "  node drain                    Stop the node that --node names, cutting nothing.\n"
    "  request TEXT --model NAME     Send one online request and stream the answer.";

}  // namespace

int main(int argc, char** argv) {
  using namespace dockpoint;
  signal(SIGPIPE, SIG_IGN);
  CommandOptions options;
  if (const char* node = std::getenv("DOCKPOINT_NODE")) {
    options.node = node;
  }
  const auto text = [](std::string& field) {
    return [&field](const std::string& value) { field = value; };
  };
  const auto flag = [](bool& field) { return [&field](const std::string&) { field = true; }; };
  const std::vector<CommandOption> table{
      {"node", "IP:PORT", "Node to talk to (DOCKPOINT_NODE, or 127.0.0.1:8101).",
       text(options.node)},
      {"tenant", "NAME", "Tenant to act for.", text(options.tenant)},
      {"output", "FORMAT", "text or json (text).",
       [&](const std::string& value) {
         if (value != "text" && value != "json") {
           usage_error("--output is \"" + value + "\"; text or json is expected");
         }
         options.json_output = value == "json";
       }},
      {"file", "FILE", "config, job submit: input file.", text(options.file)},
      {"author", "NAME", "config apply: who makes the change.", text(options.author)},
      {"base", "N", "config apply: revision that the change was made from (the current one).",
       [&](const std::string& value) {
         options.base_revision = parse_option_integer("base", value, 0, 2'000'000'000);
       }},
      {"count", "N", "config watch: end after N revisions (0: never).",
       [&](const std::string& value) {
         options.count = parse_option_integer("count", value, 0, 1'000'000);
       }},
      {"key", "KEY", "job submit, request: idempotency key.", text(options.key)},
      {"window", "TIME", "job submit: completion window, such as 24h or 90m (24h).",
       text(options.window)},
      {"selector", "JSON", "job submit: further selector over engine labels.",
       text(options.selector)},
      {"priority", "N", "job submit: 0 to 100 among the tenant's jobs (0).",
       [&](const std::string& value) {
         options.priority = parse_option_integer("priority", value, 0, 100);
       }},
      {"not-repeatable", "", "job submit, request: run at most once.",
       flag(options.not_repeatable)},
      {"wait", "", "job submit: wait for the end.", flag(options.wait)},
      {"errors", "", "job results: items that failed.", flag(options.errors)},
      {"model", "NAME", "request: service to ask.", text(options.model)},
      {"deadline-ms", "N", "request: longest time to wait.", text(options.deadline_ms)},
      {"max-tokens", "N", "request: length of the answer.",
       [&](const std::string& value) {
         options.maximum_tokens = parse_option_integer("max-tokens", value, 1, 131'072);
       }},
  };
  std::vector<std::string> arguments = parse_command_line(argc, argv, kUsage, table);
  if (arguments.empty()) {
    usage_error("a command is required; see --help");
  }
  ApiClient client(options.node, options.tenant);
  const std::string object = arguments.front();
  if (object == "request") {
    CommandContext context{options, {arguments.begin() + 1, arguments.end()}, client};
    return run_request_command(context);
  }
  if (arguments.size() < 2) {
    usage_error("\"" + object + "\" needs an action; see --help");
  }
  CommandContext context{options, {arguments.begin() + 2, arguments.end()}, client};
  if (object == "config") {
    return run_config_command(arguments[1], context);
  }
  if (object == "job") {
    return run_job_command(arguments[1], context);
  }
  if (object == "engine" || object == "node") {
    return run_fleet_command(object, arguments[1], context);
  }
  usage_error("unknown command \"" + object + "\"; see --help");
}
