/// `dockpoint-emulator`: emulates a model engine, the platform's log or its machine list.

#include <signal.h>

#include <cstdio>
#include <functional>

#include "cli/command_line.hpp"
#include "cli/exit_code.hpp"
#include "cli/signals.hpp"
#include "dockpoint/core/address.hpp"
#include "emulator/engine_server.hpp"
#include "emulator/log_server.hpp"
#include "emulator/machine_list_server.hpp"

namespace {

constexpr const char* kUsage =
    "Usage: dockpoint-emulator engine|log|machines --listen IP:PORT [OPTION ...]\n"
    "Runs one stand-in until it gets SIGTERM or SIGINT.";

template <class Server>
void serve(Server& server, const sigset_t& signals) {
  server.start();
  int received = 0;
  sigwait(&signals, &received);
  server.stop();
}

}  // namespace

int main(int argc, char** argv) {
  using namespace dockpoint;
  emulator::EngineServerOptions engine;
  std::chrono::milliseconds list_lag{1000};
  const auto integer = [](const char* name, int minimum, int maximum, auto set) {
    return
        [=](const std::string& text) { set(parse_option_integer(name, text, minimum, maximum)); };
  };
  const std::vector<CommandOption> options{
      {"listen", "IP:PORT", "Address to serve on.",
       [&](const std::string& text) { engine.address = text; }},
      {"slots", "N", "engine: sequences decoded at once (16).",
       integer("slots", 1, 4096, [&](int value) { engine.parameters.slots = value; })},
      {"waiting-limit", "N", "engine: waiting sequences before it refuses (256).",
       integer("waiting-limit", 0, 100'000,
               [&](int value) { engine.parameters.waiting_limit = value; })},
      {"step-us", "N", "engine: base time of a decode step in microseconds (8000).",
       integer("step-us", 0, 10'000'000,
               [&](int value) { engine.parameters.step_base = Duration(value); })},
      {"step-per-sequence-us", "N", "engine: added for each sequence, microseconds (300).",
       integer("step-per-sequence-us", 0, 1'000'000,
               [&](int value) { engine.parameters.step_per_sequence = Duration(value); })},
      {"prefill-tokens-per-second", "N", "engine: prefill speed (20000).",
       integer("prefill-tokens-per-second", 1, 100'000'000,
               [&](int value) { engine.parameters.prefill_tokens_per_second = value; })},
      {"cache-blocks", "N", "engine: blocks in the prefix cache (4096).",
       integer(
           "cache-blocks", 0, 10'000'000,
           [&](int value) { engine.parameters.cache_blocks = static_cast<std::size_t>(value); })},
      {"report-lag-ms", "N", "engine: age of reported load (200).",
       integer("report-lag-ms", 0, 600'000,
               [&](int value) { engine.report_lag = std::chrono::milliseconds(value); })},
      {"crash-on", "TEXT", "engine: a prompt that holds this text ends the process (none).",
       [&](const std::string& text) { engine.crash_on = text; }},
      {"list-lag-ms", "N", "machines: age of the list shown (1000).",
       integer("list-lag-ms", 0, 600'000,
               [&](int value) { list_lag = std::chrono::milliseconds(value); })},
  };
  const std::vector<std::string> arguments = parse_command_line(argc, argv, kUsage, options);
  if (arguments.size() != 1 || !Address::parse(engine.address)) {
    usage_error("one of engine, log, machines and --listen IP:PORT are required");
  }
  const sigset_t signals = block_termination_signals();
  try {
    if (arguments[0] == "engine") {
      emulator::EngineServer server(engine);
      serve(server, signals);
    } else if (arguments[0] == "log") {
      emulator::LogServer server(engine.address);
      serve(server, signals);
    } else if (arguments[0] == "machines") {
      emulator::MachineListServer server(engine.address, list_lag);
      serve(server, signals);
    } else {
      usage_error("unknown stand-in \"" + arguments[0] + "\"; engine, log or machines is expected");
    }
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "error: cannot serve on %s: %s\n", engine.address.c_str(),
                 exception.what());
    return kExitFailure;
  }
  return kExitOk;
}
