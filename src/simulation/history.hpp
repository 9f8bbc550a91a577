#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dockpoint/core/error.hpp"
#include "dockpoint/core/time.hpp"

/// What an observer outside the system saw, for the checkers: nothing here is known to dockpoint.
namespace dockpoint::simulation {

/// An engine took a request in, which counts as running it.
struct EngineStart {
  TimePoint at{};
  std::string engine;
  std::string subject;  ///< `job/item` of a batch item, or the online request's name.
  bool batch = false;
};

/// One online request as its caller saw it.
struct OnlineObservation {
  std::string name;
  std::string tenant;
  std::string key;  ///< Idempotency key; empty: none.
  bool repeatable = true;
  std::string node;
  TimePoint sent{};
  TimePoint first_token{};
  TimePoint ended{};
  int beginnings = 0;            ///< How often a first token came.
  bool answered = false;         ///< The whole answer came.
  bool connection_lost = false;  ///< The node went away.
  std::string answer;
  std::string expected;
  ResultCode code = ResultCode::kOk;  ///< Of the error, if one came.
  RunState run = RunState::kUnknown;
  std::int64_t retry_after = 0;  ///< Seconds.
};

/// One job as its submitter saw it.
struct JobObservation {
  std::string name;  ///< In the scenario.
  std::string key;
  std::string tenant;
  std::string file_id;
  std::uint32_t items = 0;
  bool repeatable = true;
  std::vector<std::string> accepted_ids;  ///< Job ids that nodes answered with, in order.
  TimePoint accepted{};
  bool cancel_confirmed = false;
  TimePoint cancelled{};
};

/// One change of configuration as its operator saw it.
struct ChangeObservation {
  std::string id;
  bool accepted = false;
  bool refused = false;
  TimePoint answered{};
};

/// A node took a configuration revision into use.
struct RevisionObservation {
  TimePoint at{};
  std::string node;
  std::uint64_t run = 0;
  std::uint64_t revision = 0;
  std::string change_id;
};

/// A node was told to stop as planned.
struct DrainObservation {
  std::string node;
  TimePoint at{};
};

/// An engine began to leave.
struct LeaveObservation {
  std::string engine;
  TimePoint at{};
  bool announced = false;  ///< By the engine itself; otherwise only by the list.
};

/// A time during which the machine list did not change.
struct StaleList {
  TimePoint from{};
  TimePoint until{};
};

class History {
 public:
  /// Adds a line to the trace, whose hash tells whether two runs were the same.
  void trace(TimePoint at, const std::string& line);

  std::uint64_t digest() const { return digest_; }
  const std::vector<std::string>& lines() const { return lines_; }
  void keep_lines() { keeps_lines_ = true; }

  std::vector<EngineStart> starts;
  std::map<std::string, OnlineObservation> online;
  std::map<std::string, JobObservation> jobs;
  std::vector<ChangeObservation> changes;
  std::vector<RevisionObservation> revisions;
  std::vector<DrainObservation> drains;
  std::vector<LeaveObservation> leaves;
  std::vector<StaleList> stale_list;
  std::vector<std::string> cut_by_drain;  ///< Online requests that a planned stop cut off.
  TimePoint healed{};                     ///< When all faults had ended.

 private:
  std::uint64_t digest_ = 0;
  bool keeps_lines_ = false;
  std::vector<std::string> lines_;
};

/// @return the answer that every engine gives to a prompt.
std::string answer_to(const std::string& prompt);

/// @return the prompt of a batch item.
std::string item_prompt(const std::string& file_id, std::uint32_t item);

}  // namespace dockpoint::simulation
