#pragma once

#include <functional>
#include <random>
#include <set>
#include <string>

#include "simulation/event_queue.hpp"

namespace dockpoint::simulation {

/// Name and zone of a process.
struct ProcessLocation {
  std::string name;
  std::string zone;
};

/// Simulated network between processes, with delay, loss, duplication, reordering and partitions.
class SimNetwork {
 public:
  SimNetwork(EventQueue& events, std::uint64_t seed) : events_(events), random_(seed) {}

  /// Sends a datagram, which may be lost, duplicated or reordered.
  void datagram(const ProcessLocation& from, const ProcessLocation& to, std::size_t bytes,
                std::function<void()> deliver);

  /// Sends a message over a connection. If the path is cut, the message is not delivered and
  /// `broken` runs after the connection timeout.
  void message(const ProcessLocation& from, const ProcessLocation& to,
               std::function<void()> deliver, std::function<void()> broken);

  // Fault injection. Each side of a cut is the name of a process or of a zone.
  void cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
  void set_loss(int percent) { loss_percent_ = percent; }
  void set_duplication(int percent) { duplication_percent_ = percent; }
  void set_extra_delay(Duration delay) { extra_delay_ = delay; }
  void heal();

  bool is_cut(const ProcessLocation& from, const ProcessLocation& to) const;

  std::uint64_t datagrams() const { return datagrams_; }
  std::uint64_t datagram_bytes() const { return datagram_bytes_; }

 private:
  Duration delay(const ProcessLocation& from, const ProcessLocation& to);
  bool occurs(int percent);

  EventQueue& events_;
  std::mt19937_64 random_;
  std::set<std::pair<std::string, std::string>> cuts_;
  int loss_percent_ = 0;
  int duplication_percent_ = 0;
  Duration extra_delay_{};
  std::uint64_t datagrams_ = 0;
  std::uint64_t datagram_bytes_ = 0;
};

}  // namespace dockpoint::simulation
