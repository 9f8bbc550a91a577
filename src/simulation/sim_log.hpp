#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "log/log_client.hpp"
#include "simulation/event_queue.hpp"

namespace dockpoint::simulation {

/// The platform's log in simulated time, with fault injection.
class SimLog {
 public:
  using AppendDone = std::function<void(std::optional<std::uint64_t> offset)>;
  using ReadDone = std::function<void(std::optional<LogPage> page)>;

  SimLog(EventQueue& events, std::uint64_t seed) : events_(events), random_(seed) {}

  /// Appends to a stream. `done` receives an empty value if the log is down, if the caller cannot
  /// reach it, or if its answer was lost.
  void append(const std::string& caller, const std::string& stream,
              const std::vector<std::string>& records, AppendDone done);
  /// Reads from a stream; waits up to half a second for the first record.
  void read(const std::string& caller, const std::string& stream, std::uint64_t from,
            std::size_t limit, ReadDone done);

  // Fault injection.
  void set_down(bool down) { down_ = down; }
  void set_extra_latency(Duration delay) { extra_latency_ = delay; }
  void set_lost_answers(int percent) { lost_answer_percent_ = percent; }
  void set_unreachable(const std::string& caller, bool unreachable);
  void heal();

  /// @return all records of a stream, for the checkers and the reference model.
  const std::vector<std::string>& records(const std::string& stream) { return streams_[stream]; }

 private:
  Duration latency();
  bool is_unavailable_to(const std::string& caller) const;
  void answer_read(const std::string& stream, std::uint64_t from, std::size_t limit,
                   const ReadDone& done);

  EventQueue& events_;
  std::mt19937_64 random_;
  std::map<std::string, std::vector<std::string>> streams_;
  struct Waiter {
    std::uint64_t from = 0;
    std::size_t limit = 0;
    std::shared_ptr<ReadDone> done;  ///< Reset once the read was answered.
  };
  std::map<std::string, std::vector<Waiter>> waiters_;
  bool down_ = false;
  Duration extra_latency_{};
  int lost_answer_percent_ = 0;
  std::set<std::string> unreachable_;
};

}  // namespace dockpoint::simulation
