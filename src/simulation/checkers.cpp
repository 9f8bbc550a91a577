#include "simulation/checkers.hpp"

#include <algorithm>
#include <set>

#include "simulation/reference.hpp"

namespace dockpoint::simulation {
namespace {

/// Items may still start this long after a confirmed cancellation, because the owner's state, the
/// engines' queues and the network lag behind it.
constexpr Duration kCancelBound{3'000'000};
/// Engines may still receive requests this long after their leave became visible. If only the
/// machine list shows it, nodes learn of it a few seconds later.
constexpr Duration kLeaveBound{4'000'000};
/// All nodes must apply an accepted configuration within this time after the last fault.
constexpr Duration kConfigurationBound{15'000'000};
/// Maximum time to refuse a request that was not executed; a request whose deadline passes is not
/// counted.
constexpr Duration kRefusalBound{5'000'000};
/// Maximum time to first token under batch load while engines have free capacity for online work.
constexpr Duration kFirstTokenBound{1'000'000};

using Violations = std::vector<Violation>;

/// @return the state of a job on the node that owns it, or null if no running node owns it.
const JobState* find_job_on_owner(World& world, const std::string& id) {
  for (const auto& [name, node] : world.nodes()) {
    if (!node->up()) {
      continue;
    }
    for (const JobState* job : node->controller().jobs_of("")) {
      if (job->spec.id == id) {
        return job;
      }
    }
  }
  return nullptr;
}

/// @return the number of starts of each subject over all engines.
std::map<std::string, int> start_counts(World& world) {
  std::map<std::string, int> counts;
  for (const EngineStart& start : world.history().starts) {
    ++counts[start.subject];
  }
  return counts;
}

void check_exactly_once(World& world, const Scenario&, Violations& violations) {
  const Reference reference = build_reference(world);
  for (const auto& [name, job] : world.history().jobs) {
    const std::set<std::string> ids(job.accepted_ids.begin(), job.accepted_ids.end());
    if (ids.size() > 1) {
      violations.push_back({"exactly_once", "job " + name + " was accepted under " +
                                                std::to_string(ids.size()) + " ids"});
    }
    for (const std::string& id : ids) {
      const auto found = reference.jobs.find(id);
      if (found == reference.jobs.end()) {
        violations.push_back({"exactly_once", "accepted job " + name + " is not in the log"});
        continue;
      }
      const ReferenceJob& expected = found->second;
      const JobState* actual = find_job_on_owner(world, id);
      if (actual == nullptr) {
        violations.push_back({"exactly_once", "no node owns accepted job " + name});
        continue;
      }
      if (!expected.cancelled && actual->completed != job.items) {
        violations.push_back({"exactly_once", "job " + name + " has " +
                                                  std::to_string(actual->completed) + " of " +
                                                  std::to_string(job.items) + " results"});
      }
      if (actual->completed != expected.results.size()) {
        violations.push_back({"exactly_once", "job " + name + ": the owner counts " +
                                                  std::to_string(actual->completed) +
                                                  " results, the reference " +
                                                  std::to_string(expected.results.size())});
      }
    }
  }
}

/// Checks that each result in the owner's index equals the result of the reference model and
/// answers the prompt of its item.
void check_results_readable(World& world, const Scenario&, Violations& violations) {
  const Reference reference = build_reference(world);
  for (const auto& [name, job] : world.history().jobs) {
    for (const std::string& id : job.accepted_ids) {
      const JobState* actual = find_job_on_owner(world, id);
      const auto found = reference.jobs.find(id);
      if (actual == nullptr || found == reference.jobs.end()) {
        continue;  // check_exactly_once reports this.
      }
      const auto& records =
          world.log().records(job_stream(partition_of_job(id, world.deployment().partitions)));
      for (const auto& [item, expected] : found->second.results) {
        const Offset index = item < actual->results.size() ? actual->results[item] : 0;
        const auto record = index == 0 || index > records.size()
                                ? std::nullopt
                                : decode_partition_record(records[index - 1]);
        const auto* result = record ? std::get_if<ItemCompleted>(&record->body) : nullptr;
        if (result == nullptr || result->body != expected.body) {
          violations.push_back({"results_readable", "job " + name + " item " +
                                                        std::to_string(item) +
                                                        ": the result read is not the first one"});
          break;
        }
        const bool answered = result->result_code == 0;
        if (answered && result->body != answer_for_prompt(item_prompt(job.file_id, item))) {
          violations.push_back(
              {"results_readable",
               "job " + name + " item " + std::to_string(item) + " has another item's answer"});
          break;
        }
      }
    }
  }
}

void check_cancel_stops(World& world, const Scenario&, Violations& violations) {
  for (const auto& [name, job] : world.history().jobs) {
    if (!job.cancel_confirmed) {
      continue;
    }
    const std::string prefix = job.accepted_ids.front() + "/";
    for (const EngineStart& start : world.history().starts) {
      if (start.subject.starts_with(prefix) && start.at > job.cancelled + kCancelBound) {
        violations.push_back(
            {"cancel_stops", start.engine + " started " + start.subject + " " +
                                 std::to_string((start.at - job.cancelled).count() / 1000) +
                                 " ms after the cancel"});
        break;
      }
    }
  }
}

void check_online_before_batch(World& world, const Scenario&, Violations& violations) {
  // Engines have capacity for online work, so a late first token means that the request waited for
  // batch work. Requests affected by a fault are skipped, because retries add to their latency.
  for (const auto& [name, request] : world.history().online) {
    const bool met_fault = request.connection_lost || !request.answered;
    if (!met_fault && request.first_token - request.sent > kFirstTokenBound) {
      violations.push_back(
          {"online_before_batch",
           "request " + name + " got its first token after " +
               std::to_string((request.first_token - request.sent).count() / 1000) + " ms"});
      break;
    }
  }
}

void check_whole_answers(World& world, const Scenario&, Violations& violations) {
  for (const auto& [name, request] : world.history().online) {
    if (request.answered && request.answer != request.expected) {
      violations.push_back({"whole_answers", "request " + name + " got another's answer"});
    }
    if (request.first_token_count > 1) {
      violations.push_back({"whole_answers", "request " + name + " got two beginnings"});
    }
    const bool ended =
        request.answered || request.connection_lost || request.code != ResultCode::kOk;
    if (!ended) {
      violations.push_back({"whole_answers", "request " + name + " was never answered"});
    }
  }
}

void check_not_run_is_true(World& world, const Scenario&, Violations& violations) {
  // A request that is sent only once has a unique subject, so every start of that subject belongs
  // to it.
  std::map<std::string, int> send_counts;
  for (const auto& [name, request] : world.history().online) {
    ++send_counts[request.key.empty() ? request.name : request.key];
  }
  const std::map<std::string, int> starts = start_counts(world);
  for (const auto& [name, request] : world.history().online) {
    const std::string subject = request.key.empty() ? request.name : request.key;
    const bool refused =
        !request.answered && request.code != ResultCode::kOk && request.run == RunState::kNotRun;
    if (refused && send_counts.at(subject) == 1 && starts.contains(subject)) {
      violations.push_back({"not_run_is_true", "request " + name + " was refused as not run (" +
                                                   std::string(describe(request.code).name) +
                                                   "), but ran"});
    }
  }
}

void check_at_most_once(World& world, const Scenario&, Violations& violations) {
  std::set<std::string> non_repeatable_requests;
  for (const auto& [name, request] : world.history().online) {
    if (!request.repeatable) {
      non_repeatable_requests.insert(request.key.empty() ? request.name : request.key);
    }
  }
  std::set<std::string> non_repeatable_jobs;
  for (const auto& [name, job] : world.history().jobs) {
    if (!job.repeatable) {
      non_repeatable_jobs.insert(job.accepted_ids.begin(), job.accepted_ids.end());
    }
  }
  for (const auto& [subject, count] : start_counts(world)) {
    const bool must_not_repeat = non_repeatable_requests.contains(subject) ||
                                 non_repeatable_jobs.contains(subject.substr(0, subject.find('/')));
    if (must_not_repeat && count > 1) {
      violations.push_back(
          {"at_most_once", subject + " was started " + std::to_string(count) + " times"});
    }
  }
}

/// @return the time at which the engine's announcement or the machine list first showed the leave.
TimePoint leave_visible_at(World& world, const LeaveObservation& leave) {
  if (leave.announced) {
    return leave.at;
  }
  TimePoint visible = leave.at + std::chrono::milliseconds(world.deployment().list_lag_ms);
  for (const StaleListPeriod& stale : world.history().stale_list_periods) {
    if (stale.from < visible && visible < stale.until) {
      visible = stale.until;
    }
  }
  return visible;
}

void check_leaving_gets_nothing(World& world, const Scenario&, Violations& violations) {
  for (const LeaveObservation& leave : world.history().leaves) {
    const TimePoint bound = leave_visible_at(world, leave) + kLeaveBound;
    for (const EngineStart& start : world.history().starts) {
      if (start.engine == leave.engine && start.at > bound && start.at < world.history().healed) {
        violations.push_back({"leaving_gets_nothing", leave.engine + " started " + start.subject +
                                                          " long after it began to leave"});
        break;
      }
    }
  }
}

void check_drain_cuts_nothing(World& world, const Scenario&, Violations& violations) {
  for (const std::string& name : world.history().interrupted_by_drain) {
    violations.push_back({"drain_cuts_nothing", "a planned stop cut request " + name});
  }
}

void check_configuration(World& world, const Scenario&, Violations& violations) {
  const Reference reference = build_reference(world);
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> newest;
  for (const RevisionObservation& observed : world.history().revisions) {
    std::uint64_t& before = newest[{observed.node, observed.run}];
    if (observed.revision < before) {
      violations.push_back({"configuration", observed.node + " went back to revision " +
                                                 std::to_string(observed.revision)});
    }
    before = std::max(before, observed.revision);
    const bool known = observed.revision >= 1 && observed.revision <= reference.change_ids.size() &&
                       reference.change_ids[observed.revision - 1] == observed.change_id;
    if (!known) {
      violations.push_back({"configuration", observed.node + " took " + observed.change_id +
                                                 " as revision " +
                                                 std::to_string(observed.revision) +
                                                 ", which the reference did not accept"});
    }
  }
  const std::set<std::string> accepted(reference.change_ids.begin(), reference.change_ids.end());
  for (const ChangeObservation& change : world.history().changes) {
    if (change.accepted && !accepted.contains(change.id)) {
      violations.push_back({"configuration", "operator of " + change.id +
                                                 " was told that it is in force; it is not"});
    }
    if (change.refused && accepted.contains(change.id)) {
      violations.push_back({"configuration", "operator of " + change.id +
                                                 " was told of a conflict, but it is in force"});
    }
  }
  for (const auto& [name, node] : world.nodes()) {
    if (!node->up()) {
      continue;
    }
    const auto& current = node->controller().configuration().current();
    if (current.revision != reference.change_ids.size()) {
      violations.push_back({"configuration", name + " is on revision " +
                                                 std::to_string(current.revision) + " of " +
                                                 std::to_string(reference.change_ids.size())});
    }
  }
  // No node may apply a revision later than kConfigurationBound after the last fault.
  for (const RevisionObservation& observed : world.history().revisions) {
    const bool late = world.history().healed != TimePoint{} &&
                      observed.at > world.history().healed + kConfigurationBound;
    if (late) {
      violations.push_back({"configuration", observed.node + " took revision " +
                                                 std::to_string(observed.revision) + " too late"});
    }
  }
}

void check_refused_at_once(World& world, const Scenario&, Violations& violations) {
  constexpr double kMaxExpiredShare = 0.05;
  int expired_count = 0;
  for (const auto& [name, request] : world.history().online) {
    const bool expired_unexecuted =
        request.code == ResultCode::kDeadlineExceeded && request.run == RunState::kNotRun;
    expired_count += expired_unexecuted ? 1 : 0;
  }
  const auto requests = static_cast<double>(world.history().online.size());
  if (expired_count > kMaxExpiredShare * requests) {
    violations.push_back({"refused_at_once", std::to_string(expired_count) +
                                                 " requests waited in vain until their deadline"});
  }
  for (const auto& [name, request] : world.history().online) {
    const bool refused =
        request.code == ResultCode::kOverloaded || request.code == ResultCode::kNoEligibleEngine ||
        request.code == ResultCode::kDraining || request.code == ResultCode::kRetryBudgetExhausted;
    if (!refused) {
      continue;
    }
    if (request.retry_after < 1) {
      violations.push_back(
          {"refused_at_once", "request " + name + " was not told when to come back"});
    }
    if (request.ended - request.sent > kRefusalBound && request.run == RunState::kNotRun &&
        request.code != ResultCode::kDraining) {
      violations.push_back({"refused_at_once", "request " + name + " was refused late"});
    }
  }
}

/// Checks that the tenant with the fewest requests gets nearly all of them answered.
void check_no_starvation(World& world, const Scenario&, Violations& violations) {
  struct Count {
    int sent = 0;
    int answered = 0;
  };
  std::map<std::string, Count> tenants;
  for (const auto& [name, request] : world.history().online) {
    Count& count = tenants[request.tenant];
    ++count.sent;
    count.answered += request.answered ? 1 : 0;
  }
  const auto lowest_demand = std::min_element(
      tenants.begin(), tenants.end(),
      [](const auto& left, const auto& right) { return left.second.sent < right.second.sent; });
  if (tenants.size() < 2) {
    return;
  }
  // The tenant with the lowest demand stays below its fair share, so nearly all of its requests
  // must be answered.
  constexpr double kMinAnsweredShare = 0.9;
  const Count& lowest_tenant = lowest_demand->second;
  if (lowest_tenant.answered < kMinAnsweredShare * lowest_tenant.sent) {
    violations.push_back({"no_starvation", "tenant " + lowest_demand->first + " got " +
                                               std::to_string(lowest_tenant.answered) + " of " +
                                               std::to_string(lowest_tenant.sent) + " answers"});
  }
}

void check_partitions_owned(World& world, const Scenario&, Violations& violations) {
  int owned = 0;
  for (const auto& [name, node] : world.nodes()) {
    owned += node->up() ? node->controller().owned_partitions() : 0;
  }
  if (owned != world.deployment().partitions) {
    violations.push_back({"partitions_owned", std::to_string(owned) + " ownerships of " +
                                                  std::to_string(world.deployment().partitions) +
                                                  " partitions"});
  }
}

}  // namespace

const std::vector<PropertyInfo>& property_table() {
  static const std::vector<PropertyInfo> table{
      {"exactly_once", "Every accepted item has exactly one result in the end.",
       check_exactly_once},
      {"results_readable", "Every result stays readable and is the first one.",
       check_results_readable},
      {"cancel_stops", "Nothing of a cancelled job starts 3 s after the cancel was confirmed.",
       check_cancel_stops},
      {"online_before_batch", "First tokens come within 1 s whatever batch runs.",
       check_online_before_batch},
      {"whole_answers", "Each caller gets the whole answer to its own request, or an error.",
       check_whole_answers},
      {"not_run_is_true", "What was refused as not run was not run.", check_not_run_is_true},
      {"at_most_once", "What must not be repeated starts at most once.", check_at_most_once},
      {"leaving_gets_nothing", "A leaving engine gets nothing new 4 s after the list shows it.",
       check_leaving_gets_nothing},
      {"drain_cuts_nothing", "A planned stop cuts no request.", check_drain_cuts_nothing},
      {"configuration", "One revision everywhere within 15 s, never back, as the log decided.",
       check_configuration},
      {"refused_at_once", "A refused request is answered at once, with when to come back.",
       check_refused_at_once},
      {"no_starvation", "The tenant that asks for least gets 90% of its answers.",
       check_no_starvation},
      {"partitions_owned", "After healing every partition has one owner.", check_partitions_owned},
  };
  return table;
}

std::vector<Violation> check_properties(World& world, const Scenario& scenario) {
  Violations violations;
  for (const PropertyInfo& property : property_table()) {
    const bool wanted = scenario.checks.empty() ||
                        std::find(scenario.checks.begin(), scenario.checks.end(), property.name) !=
                            scenario.checks.end();
    if (wanted) {
      property.check(world, scenario, violations);
    }
  }
  return violations;
}

bool all_ended(World& world) {
  for (const auto& [name, job] : world.history().jobs) {
    if (job.accepted_ids.empty()) {
      return false;
    }
    for (const std::string& id : job.accepted_ids) {
      const JobState* state = find_job_on_owner(world, id);
      if (state == nullptr || state->in_progress()) {
        return false;
      }
    }
  }
  for (const auto& [name, request] : world.history().online) {
    const bool ended =
        request.answered || request.connection_lost || request.code != ResultCode::kOk;
    if (!ended) {
      return false;
    }
  }
  return true;
}

}  // namespace dockpoint::simulation
