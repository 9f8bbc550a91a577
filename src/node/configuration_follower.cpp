#include "node/configuration_follower.hpp"

#include <spdlog/spdlog.h>

namespace dockpoint {
namespace {

constexpr std::size_t kConfigurationPageRecords = 100;
constexpr std::chrono::milliseconds kConfigurationReadWait{500};
constexpr std::chrono::milliseconds kConfigurationRetryPause{200};
/// The log counts as unreachable after this long without an answer.
constexpr std::chrono::seconds kUnreachableAfter{2};

}  // namespace

ConfigurationFollower::ConfigurationFollower(LogClient& log, ControlLoop& control)
    : Part("configuration-follower"), log_(log), control_(control) {}

void ConfigurationFollower::run(std::stop_token stop) {
  auto last_answer = monotonic_now();
  std::uint64_t next = 0;
  while (!stop.stop_requested()) {
    LogPage page;
    const std::optional<Error> error = error_of([&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(page, log_.read(kConfigurationStream, next, kConfigurationPageRecords,
                                        kConfigurationReadWait));
      return {};
    });
    if (error) {
      if (monotonic_now() - last_answer >= kUnreachableAfter) {
        report_reachability(false);
      }
      std::this_thread::sleep_for(kConfigurationRetryPause);
      continue;
    }
    last_answer = monotonic_now();
    report_reachability(true);
    next = control_.call([&](NodeController& controller, TimePoint now) {
      controller.configuration_read(page.first, page.records, now);
      return controller.configuration().next_offset();
    });
  }
}

void ConfigurationFollower::report_reachability(bool reachable) {
  if (reachable == reachable_) {
    return;
  }
  reachable_ = reachable;
  spdlog::warn("log: The platform's log is {}.", reachable ? "reachable" : "unreachable");
  control_.post([reachable](NodeController& controller, TimePoint) {
    controller.log_reachability_changed(reachable);
  });
}

}  // namespace dockpoint
