#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace dockpoint {

/// Mechanisms that implement dockpoint's guarantees. The simulator can switch off each one to show
/// which guarantee fails without it; everywhere else all are on.
struct Mechanisms {
  /// Claims replace the current epoch, and decisions of former owners are ignored.
  bool ownership_epochs = true;
  /// An owner acts only while its last read of its stream's tail is recent.
  bool owner_lease = true;
  /// The first completion of an item is its result.
  bool first_result_wins = true;
  /// Items that must not be repeated are sent only after their attempt is confirmed in the log.
  bool attempt_records = true;
  /// Appends are repeated until the log confirms them.
  bool append_retries = true;
  /// A job's id is derived from its idempotency key.
  bool job_keys = true;
  /// No more items of a cancelled job are sent.
  bool cancel_stops = true;
  /// Batch items are sent at low engine priority.
  bool batch_priority = true;
  /// Batch items are sent only within the idle capacity.
  bool batch_allowance = true;
  /// A request is reported as not run only if no attempt of it may have run.
  bool truthful_not_run = true;
  /// Non-repeatable requests are not retried after an unknown outcome.
  bool repeat_only_repeatable = true;
  /// Online requests with an idempotency key are recorded before they are sent.
  bool online_attempt_records = true;
  /// An answer that broke off after part of it reached the caller is not restarted.
  bool interrupted_ends = true;
  /// Requests that cannot be served in time, or do not fit the queue, are refused at once.
  bool early_refusal = true;
  /// Engines that are leaving, according to any source, get no new work.
  bool leave_tracking = true;
  /// A process that was paused sends nothing new until it has received current reports.
  bool pause_hold = true;
  /// A planned stop finishes the work in progress.
  bool drain = true;
  /// A configuration change is accepted only if it is based on the revision in force.
  bool revision_check = true;
  /// Nodes adopt newer configurations from each other.
  bool configuration_spread = true;
  /// Queues are fair across tenants.
  bool tenant_fairness = true;
};

/// Name and switch of one mechanism.
struct MechanismInfo {
  std::string_view name;
  bool Mechanisms::*flag;
};

/// @return all mechanisms by name.
const std::vector<MechanismInfo>& mechanism_table();

/// Switches a mechanism off. @return false if no mechanism has this name.
bool switch_off(Mechanisms& mechanisms, std::string_view name);

}  // namespace dockpoint
