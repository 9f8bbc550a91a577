/// `dockpoint-bench`: measures the overhead that dockpoint adds.

#include <signal.h>

#include <cstdio>

#include "bench/forwarding_bench.hpp"
#include "bench/recovery_bench.hpp"
#include "cli/command_line.hpp"
#include "cli/exit_code.hpp"

namespace {

constexpr const char* kUsage =
    "Usage: dockpoint-bench forwarding --engine IP:PORT --node IP:PORT --model NAME [OPTION ...]\n"
    "       dockpoint-bench recovery\n"
    "forwarding measures streamed requests straight to an engine and through a node, in one run;\n"
    "recovery measures taking over a large job from a checkpoint and from the whole history.";

}  // namespace

int main(int argc, char** argv) {
  using namespace dockpoint;
  signal(SIGPIPE, SIG_IGN);
  bench::ForwardingOptions options;
  const auto integer = [](const char* name, int maximum, int& field) {
    return [name, maximum, &field](const std::string& text) {
      field = parse_option_integer(name, text, 1, maximum);
    };
  };
  const auto text = [](std::string& field) {
    return [&field](const std::string& value) { field = value; };
  };
  const std::vector<CommandOption> table{
      {"engine", "IP:PORT", "Engine to send to directly.", text(options.engine)},
      {"node", "IP:PORT", "Node that serves the engine.", text(options.node)},
      {"model", "NAME", "Service to ask.", text(options.model)},
      {"streams", "N", "Requests at once (16).", integer("streams", 4096, options.streams)},
      {"requests", "N", "Requests on each way (400).",
       integer("requests", 1'000'000, options.requests)},
      {"tokens", "N", "Tokens of each answer (32).", integer("tokens", 100'000, options.tokens)},
      {"rounds", "N", "Turns that the ways take (4).", integer("rounds", 1000, options.rounds)},
  };
  const std::vector<std::string> arguments = parse_command_line(argc, argv, kUsage, table);
  if (arguments.size() == 1 && arguments.front() == "recovery") {
    bench::run_recovery_bench({50'000, 100'000, 200'000, 450'000});
    return kExitOk;
  }
  if (arguments.size() != 1 || arguments.front() != "forwarding") {
    usage_error("forwarding or recovery is expected; see --help");
  }
  if (options.engine.empty() || options.node.empty() || options.model.empty()) {
    usage_error("--engine, --node and --model are required");
  }
  const std::optional<Error> error = error_of([&] { return bench::run_forwarding_bench(options); });
  if (error) {
    std::fprintf(stderr, "error: %s\n", error->message.c_str());
    return kExitFailure;
  }
  return kExitOk;
}
