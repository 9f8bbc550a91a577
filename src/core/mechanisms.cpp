#include "dockpoint/core/mechanisms.hpp"

#include <algorithm>

namespace dockpoint {

const std::vector<MechanismInfo>& mechanism_table() {
  static const std::vector<MechanismInfo> table{
      {"ownership_epochs", &Mechanisms::ownership_epochs},
      {"owner_lease", &Mechanisms::owner_lease},
      {"first_result_wins", &Mechanisms::first_result_wins},
      {"attempt_records", &Mechanisms::attempt_records},
      {"append_retries", &Mechanisms::append_retries},
      {"job_keys", &Mechanisms::job_keys},
      {"cancel_stops", &Mechanisms::cancel_stops},
      {"batch_priority", &Mechanisms::batch_priority},
      {"batch_allowance", &Mechanisms::batch_allowance},
      {"truthful_not_run", &Mechanisms::truthful_not_run},
      {"repeat_only_repeatable", &Mechanisms::repeat_only_repeatable},
      {"online_attempt_records", &Mechanisms::online_attempt_records},
      {"interrupted_ends", &Mechanisms::interrupted_ends},
      {"early_refusal", &Mechanisms::early_refusal},
      {"leave_tracking", &Mechanisms::leave_tracking},
      {"pause_hold", &Mechanisms::pause_hold},
      {"drain", &Mechanisms::drain},
      {"revision_check", &Mechanisms::revision_check},
      {"configuration_spread", &Mechanisms::configuration_spread},
      {"tenant_fairness", &Mechanisms::tenant_fairness},
  };
  return table;
}

bool switch_off(Mechanisms& mechanisms, std::string_view name) {
  const auto& table = mechanism_table();
  const auto found = std::find_if(table.begin(), table.end(),
                                  [name](const MechanismInfo& info) { return info.name == name; });
  if (found == table.end()) {
    return false;
  }
  mechanisms.*(found->flag) = false;
  return true;
}

}  // namespace dockpoint
