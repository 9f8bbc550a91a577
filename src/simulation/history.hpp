#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dockpoint/core/error.hpp"
#include "dockpoint/core/time.hpp"

/// Observations made from outside the system, used by the checkers. Dockpoint itself never reads
/// them.
namespace dockpoint::simulation {

/// An engine accepted a request, which counts as an execution.
struct EngineStart {
  TimePoint at{};
  std::string engine;
  std::string subject;  ///< `job/item` for a batch item, otherwise the name of the online request.
  bool batch = false;
};

/// An online request as observed by its caller.
struct OnlineObservation {
  std::string name;
  std::string tenant;
  std::string key;  ///< Idempotency key; empty if the request has none.
  bool repeatable = true;
  std::string node;
  TimePoint sent{};
  TimePoint first_token{};
  TimePoint ended{};
  int first_token_count = 0;     ///< Number of times a first token arrived.
  bool answered = false;         ///< The complete answer arrived.
  bool connection_lost = false;  ///< The connection to the node was lost.
  std::string answer;
  std::string expected;
  ResultCode code = ResultCode::kOk;  ///< Result code of the error, if one was returned.
  RunState run = RunState::kUnknown;
  std::int64_t retry_after = 0;  ///< Seconds.
};

/// A job as observed by its submitter.
struct JobObservation {
  std::string name;  ///< Name used in the scenario.
  std::string key;
  std::string tenant;
  std::string file_id;
  std::uint32_t items = 0;
  bool repeatable = true;
  std::vector<std::string> accepted_ids;  ///< Job ids returned by nodes, in order.
  TimePoint accepted{};
  bool cancel_confirmed = false;
  TimePoint cancelled{};
};

/// A configuration change as observed by its operator.
struct ChangeObservation {
  std::string id;
  bool accepted = false;
  bool refused = false;
  TimePoint answered{};
};

/// A node applied a configuration revision.
struct RevisionObservation {
  TimePoint at{};
  std::string node;
  std::uint64_t run = 0;
  std::uint64_t revision = 0;
  std::string change_id;
};

/// A node began a planned shutdown.
struct DrainObservation {
  std::string node;
  TimePoint at{};
};

/// An engine began to leave the deployment.
struct LeaveObservation {
  std::string engine;
  TimePoint at{};
  /// True if the engine announced it; false if only the machine list shows it.
  bool announced = false;
};

/// A period during which the machine list was not updated.
struct StaleListPeriod {
  TimePoint from{};
  TimePoint until{};
};

class History {
 public:
  /// Adds a line to the trace. Its hash is compared to detect differences between two runs.
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
  std::vector<StaleListPeriod> stale_list_periods;
  std::vector<std::string>
      interrupted_by_drain;  ///< Online requests interrupted by a planned shutdown.
  TimePoint healed{};        ///< Time at which the last fault ended.

 private:
  std::uint64_t digest_ = 0;
  bool keeps_lines_ = false;
  std::vector<std::string> lines_;
};

/// @return the deterministic answer of every engine to a prompt.
std::string answer_for_prompt(const std::string& prompt);

/// @return the prompt of a batch item.
std::string item_prompt(const std::string& file_id, std::uint32_t item);

}  // namespace dockpoint::simulation
