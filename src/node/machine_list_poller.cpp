#include "node/machine_list_poller.hpp"

#include <spdlog/spdlog.h>

#include "dockpoint/core/json_reader.hpp"

namespace dockpoint {
namespace {

constexpr std::chrono::milliseconds kPollInterval{1000};
constexpr std::chrono::milliseconds kMachineListTimeout{2000};

}  // namespace

MachineListPoller::MachineListPoller(std::string address, ControlLoop& control)
    : Part("machine-list"),
      address_(std::move(address)),
      control_(control),
      sessions_(kMachineListTimeout) {}

void MachineListPoller::run(std::stop_token stop) {
  while (!stop.stop_requested()) {
    poll();
    wait_until_stopped(stop, kPollInterval);
  }
}

void MachineListPoller::poll() {
  HttpExchange request;
  request.address = address_;
  request.path = "/machines";
  request.timeout = kMachineListTimeout;
  const TimePoint started = monotonic_now();
  const HttpOutcome outcome = exchange(sessions_, request);
  if (!outcome.answer || outcome.answer->status != 200) {
    return;  // Keep using the last list that was read.
  }
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(machines, parse_machine_list(outcome.answer->body));
    control_.post([machines, started](NodeController& controller, TimePoint now) {
      controller.machines_listed(machines, started, now);
    });
    return {};
  });
  if (error) {
    spdlog::warn("machines: Failed to parse the machine list; reason={}", error->message);
  }
}

Result<std::vector<MachineEntry>> parse_machine_list(const std::string& json) {
  BOOST_LEAF_AUTO(object, parse_json_object(json));
  Problems problems;
  ObjectReader root(object, "", problems);
  std::vector<MachineEntry> machines;
  for (ObjectReader& reader : root.objects("machines")) {
    MachineEntry machine;
    machine.address = reader.required_text("address");
    machine.is_node = reader.choice("kind", {"node", "engine"}, "engine") == "node";
    machine.leaving = reader.choice("state", {"live", "leaving"}, "live") == "leaving";
    machines.push_back(std::move(machine));
  }
  if (!problems.empty()) {
    return fail(ResultCode::kMalformedBody, summarize(problems), problems.front().place);
  }
  return machines;
}

}  // namespace dockpoint
