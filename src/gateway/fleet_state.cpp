#include "gateway/fleet_state.hpp"

#include <fmt/format.h>

#include <charconv>

#include "net/http_message.hpp"

namespace dockpoint {
namespace {

std::uint64_t number_of(const net::Target& target, std::string_view name) {
  const std::string text = target.parameter(name).value_or("");
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

std::string fleet_state_target(const FleetKnowledge& known) {
  std::string target = fmt::format("{}?version={}", kFleetStatePath, known.version);
  if (known.replicas_known) {
    target += fmt::format("&position={}", known.replicas_position);
  }
  return target;
}

FleetKnowledge asker_knowledge(std::string_view target) {
  const net::Target parsed = net::Target::parse(target);
  return {number_of(parsed, "version"), parsed.parameter("position").has_value(),
          number_of(parsed, "position")};
}

void leave_out_known(FleetState& state, const FleetKnowledge& known) {
  if (state.version <= known.version) {
    state.configuration.clear();
  }
  if (known.replicas_known && state.replicas_position <= known.replicas_position) {
    state.replicas_known = false;
    state.replicas.clear();
  }
}

}  // namespace dockpoint
