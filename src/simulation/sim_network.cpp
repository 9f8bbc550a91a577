#include "simulation/sim_network.hpp"

namespace dockpoint::simulation {
namespace {

constexpr Duration kDelayWithinZone{100};
constexpr Duration kDelayBetweenZones{1'000};
constexpr std::uint64_t kDatagramJitterUs = 200;
constexpr Duration kConnectionTimeout{1'000'000};
constexpr std::uint64_t kPercentBase = 100;
/// UDP and IPv4 headers of a datagram.
constexpr std::size_t kHeaderBytes = 28;

}  // namespace

Duration SimNetwork::delay(const ProcessLocation& from, const ProcessLocation& to) {
  const Duration base = from.zone == to.zone ? kDelayWithinZone : kDelayBetweenZones;
  const auto jitter = kDatagramJitterUs + static_cast<std::uint64_t>(extra_delay_.count());
  return base + Duration(static_cast<std::int64_t>(random_() % jitter));
}

bool SimNetwork::occurs(int percent) {
  return percent > 0 && random_() % kPercentBase < static_cast<std::uint64_t>(percent);
}

bool SimNetwork::is_cut(const ProcessLocation& from, const ProcessLocation& to) const {
  for (const std::string& source : {from.name, from.zone}) {
    for (const std::string& target : {to.name, to.zone}) {
      if (cuts_.contains({source, target})) {
        return true;
      }
    }
  }
  return false;
}

void SimNetwork::datagram(const ProcessLocation& from, const ProcessLocation& to, std::size_t bytes,
                          std::function<void()> deliver) {
  ++datagrams_;
  datagram_bytes_ += bytes + kHeaderBytes;
  if (is_cut(from, to) || occurs(loss_percent_)) {
    return;
  }
  if (occurs(duplication_percent_)) {
    events_.after(delay(from, to), deliver);
  }
  events_.after(delay(from, to), std::move(deliver));
}

void SimNetwork::message(const ProcessLocation& from, const ProcessLocation& to,
                         std::function<void()> deliver, std::function<void()> broken) {
  if (is_cut(from, to)) {
    events_.after(kConnectionTimeout, std::move(broken));
    return;
  }
  events_.after(delay(from, to), std::move(deliver));
}

void SimNetwork::heal() {
  cuts_.clear();
  loss_percent_ = 0;
  duplication_percent_ = 0;
  extra_delay_ = Duration{};
}

}  // namespace dockpoint::simulation
