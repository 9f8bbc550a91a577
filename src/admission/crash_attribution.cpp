#include "dockpoint/admission/crash_attribution.hpp"

#include <utility>
#include <vector>

namespace dockpoint {
namespace {

using Crashes = std::set<std::uint64_t>;

void add_crashes(const Suspect& suspect, Crashes& crashes) {
  for (const auto& [replica, ended_at] : suspect.crashes) {
    crashes.insert(replica);
  }
}

/// Marks the crashes of a suspect that are among `causes` as explained.
void excuse(Suspect& suspect, const Crashes& causes) {
  for (const auto& [replica, ended_at] : suspect.crashes) {
    if (causes.contains(replica)) {
      suspect.explained.insert(replica);
    }
  }
}

void count_crashes(const Suspect& suspect, std::map<std::uint64_t, int>& suspects_at_crash) {
  for (const auto& [replica, ended_at] : suspect.crashes) {
    ++suspects_at_crash[replica];
  }
}

/// Marks the crashes of a suspect at which another one was present.
void mark_shared(Suspect& suspect, const std::map<std::uint64_t, int>& suspects_at_crash) {
  for (const auto& [replica, ended_at] : suspect.crashes) {
    const auto count = suspects_at_crash.find(replica);
    if (count != suspects_at_crash.end() && count->second > 1) {
      suspect.shared.insert(replica);
    }
  }
}

/// Marks the crashes of a part that a single request explains, the one that explains most. Several
/// requests with crashes have the part in common, so it is the simpler explanation of theirs.
void excuse_by_one_request(Suspect& part, const std::vector<Crashes>& requests) {
  Crashes most;
  for (const Crashes& request : requests) {
    Crashes explained;
    for (const auto& [replica, ended_at] : part.crashes) {
      if (request.contains(replica)) {
        explained.insert(replica);
      }
    }
    if (explained.size() > most.size()) {
      most = std::move(explained);
    }
  }
  excuse(part, most);
}

std::size_t unexplained(const Suspect& suspect) {
  return suspect.crashes.size() - suspect.explained.size();
}

}  // namespace

void attribute_crashes(std::map<RequestFingerprint, Suspect>& suspects, const Knobs& knobs) {
  std::vector<Suspect*> candidates;
  for (auto& [fingerprint, suspect] : suspects) {
    suspect.explained.clear();
    suspect.shared.clear();
    if (suspect.crashes.size() >= knobs.crash_limit) {
      candidates.push_back(&suspect);
    }
  }
  if (!knobs.crash_attribution) {
    return;
  }
  std::vector<Crashes> of_each_request;
  for (const Suspect* suspect : candidates) {
    if (!suspect->prompt_part) {
      of_each_request.emplace_back();
      add_crashes(*suspect, of_each_request.back());
    }
  }
  std::map<std::uint64_t, int> parts_at_crash;
  Crashes of_parts;
  for (Suspect* suspect : candidates) {
    if (suspect->prompt_part) {
      excuse_by_one_request(*suspect, of_each_request);
      if (!suspect->ran_well_before && unexplained(*suspect) >= knobs.crash_limit) {
        add_crashes(*suspect, of_parts);
        count_crashes(*suspect, parts_at_crash);
      }
    }
  }
  for (Suspect* suspect : candidates) {
    if (!suspect->prompt_part) {
      continue;
    }
    if (suspect->ran_well_before) {
      excuse(*suspect, of_parts);
    }
    mark_shared(*suspect, parts_at_crash);
  }
}

}  // namespace dockpoint
