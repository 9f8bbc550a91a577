/// `dockpointd`: the daemon beside each caller.

#include <malloc.h>
#include <signal.h>
#include <spdlog/spdlog.h>

#include <cstdio>

#include "cli/command_line.hpp"
#include "cli/exit_code.hpp"
#include "cli/signals.hpp"
#include "node/daemon.hpp"

namespace {

constexpr const char* kUsage =
    "Usage: dockpointd [--settings FILE] [OPTION ...]\n"
    "Takes online requests and batch jobs and sends them to engines. SIGTERM drains: no new work,\n"
    "what is in progress is finished. A second SIGTERM ends the drain.";

/// Larger allocations go back to the system when they are freed, instead of staying with the thread
/// that made them.
constexpr int kLargeAllocationBytes = 128 * 1024;

constexpr timespec kSignalPoll{0, 100'000'000};

bool signal_arrived(const sigset_t& signals) {
  return sigtimedwait(&signals, nullptr, &kSignalPoll) > 0;
}

int run(const dockpoint::Settings& settings) {
  const sigset_t signals = dockpoint::block_termination_signals();
  dockpoint::Daemon daemon(settings);
  daemon.start();
  while (!signal_arrived(signals) && !daemon.drain_requested() && !daemon.failed()) {
  }
  if (daemon.failed()) {
    return dockpoint::kExitFailure;
  }
  const timespec no_wait{0, 0};
  const int cut = daemon.drain([&] { return sigtimedwait(&signals, nullptr, &no_wait) > 0; });
  daemon.stop();
  spdlog::info("node: The node has stopped.");
  return cut == 0 ? dockpoint::kExitOk : dockpoint::kExitCut;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace dockpoint;
  mallopt(M_MMAP_THRESHOLD, kLargeAllocationBytes);
  std::string settings_path;
  bool check_only = false;
  SettingOverrides overrides;
  std::vector<CommandOption> options{
      {"settings", "FILE", "Settings file (JSON).",
       [&](const std::string& text) { settings_path = text; }},
      {"check-settings", "", "Check the settings, print what is in force and exit.",
       [&](const std::string&) { check_only = true; }},
  };
  for (const SettingInfo& info : setting_table()) {
    options.push_back(
        {info.flag, "VALUE", info.help + " (" + info.key + ")",
         [&overrides, key = info.key](const std::string& text) { overrides[key] = text; }});
  }
  const std::vector<std::string> arguments = parse_command_line(argc, argv, kUsage, options);
  if (!arguments.empty()) {
    usage_error("unexpected argument \"" + arguments.front() + "\"");
  }
  std::optional<Settings> settings;
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(settings, load_settings(settings_path, overrides));
    return {};
  });
  if (error) {
    std::fprintf(stderr, "error: %s\n", error->message.c_str());
    return kExitSettings;
  }
  if (check_only) {
    std::printf("%s", describe_settings(*settings).c_str());
    return kExitOk;
  }
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  spdlog::set_level(spdlog::level::from_str(settings->log_level));
  spdlog::flush_on(spdlog::level::info);
  try {
    return run(*settings);
  } catch (const std::exception& exception) {
    spdlog::critical("node: The node cannot start; reason={}", exception.what());
    return kExitFailure;
  }
}
