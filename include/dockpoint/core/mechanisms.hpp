#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace dockpoint {

/// The mechanisms that carry dockpoint's promises, each of which can be switched off in the
/// simulator to show what fails without it. Everywhere else all are on.
struct Mechanisms {
  /// Claims replace the current epoch, and decisions of former owners do not count.
  bool ownership_epochs = true;
  /// An owner acts only while it has read its stream's tail a short time ago.
  bool owner_lease = true;
  /// The first completion of an item is its result.
  bool first_result_wins = true;
  /// Items that must not be repeated are sent only after their attempt is confirmed in the log.
  bool attempt_records = true;
  /// Appends are repeated until the log confirms them.
  bool append_retries = true;
  /// A job's id follows from its idempotency key.
  bool job_keys = true;
  /// A cancel ends the sending of a job's items.
  bool cancel_stops = true;
  /// Batch items go out at low engine priority.
  bool batch_priority = true;
  /// Batch items go out only within what is idle.
  bool batch_allowance = true;
  /// A request is reported as not run only if no attempt of it may have run.
  bool truthful_not_run = true;
  /// Requests that must not be repeated are not repeated after an unknown end.
  bool repeat_only_repeatable = true;
  /// Online requests under a key are written down before they are sent.
  bool online_attempt_records = true;
  /// An answer that broke off after a part of it reached the caller is not started anew.
  bool interrupted_ends = true;
  /// Requests that cannot be served in time, or do not fit the queue, are refused at once.
  bool early_refusal = true;
  /// Engines that leave, by any source, get no new work.
  bool leave_tracking = true;
  /// A process that was paused sends nothing new before it has heard fresh news.
  bool pause_hold = true;
  /// A planned stop finishes what is in progress.
  bool drain = true;
  /// A configuration change counts only if it was made from the revision in force.
  bool revision_check = true;
  /// Nodes take newer configurations from each other.
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

/// Switches a mechanism off. @return false if there is none of this name.
bool switch_off(Mechanisms& mechanisms, std::string_view name);

}  // namespace dockpoint
