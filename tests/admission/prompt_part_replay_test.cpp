/// Simulates the load on the quarantine of prompt parts: a part that crashes each replica that
/// writes on it, in requests of which no two are alike, while sound requests share their other
/// parts and replicas also crash for other reasons.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "dockpoint/admission/good_run_memory.hpp"
#include "dockpoint/admission/part_trials.hpp"
#include "dockpoint/admission/request_quarantine.hpp"
#include "dockpoint/admission/run_suspects.hpp"

using namespace dockpoint;

namespace {

constexpr int kReplicas = 18;
constexpr int kSlots = 12;
constexpr int kSeeds = 40;
constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kSimulatedTime = std::chrono::seconds(60);
constexpr Duration kRestartTime = std::chrono::milliseconds(1500);
constexpr Duration kTimeToCrash = std::chrono::milliseconds(100);
constexpr Duration kMaxRunTime = std::chrono::milliseconds(1800);
constexpr Duration kMassCrashInterval = std::chrono::milliseconds(2500);
/// After the fifth crash by the part, the time after which few requests with it may reach replicas.
constexpr Duration kKnownAfter = std::chrono::seconds(3);
/// After the fifth crash, the time after which sound requests must be served as before.
constexpr Duration kSoundAfter = std::chrono::seconds(6);
constexpr int kCrashesCounted = 5;
constexpr int kSendsAllowed = 3;

struct Load {
  double requests_per_second = 55;
  int first_parts = 20;
  int second_parts = 967;
  double crashing_per_second = 2;   ///< Requests with the crashing part.
  bool first_part_crashes = false;  ///< The crashing part is a first part that ran well until then.
  int mass_crashes = 0;             ///< Moments at which half of the replicas crash by themselves.
};

/// Mechanisms that can be left out, to show what they do.
struct Rule {
  bool good_runs = true;
  bool attribution = true;
};

struct Outcome {
  int crashes = 0;  ///< By the part.
  int sends_when_known =
      0;  ///< Of requests with the part, after `kKnownAfter`; worst of all seeds.
  int sound = 0;
  int sound_held = 0;
  int sound_late = 0;  ///< With the crashing request's first part, after `kSoundAfter`.
  int sound_late_held = 0;
};

/// A fleet whose nodes share all evidence instantly, so that only the rule itself is tested.
class Replay {
 public:
  Replay(const Load& load, const Rule& rule, std::uint64_t seed)
      : load_(load), rule_(rule), random_(seed), quarantine_(make_quarantine(rule)) {}

  Outcome run() {
    const TimePoint begin_crashing = start_ + std::chrono::seconds(10);
    for (now_ = start_; now_ < start_ + kSimulatedTime; now_ += kStep) {
      end_runs();
      crash_by_themselves();
      quarantine_.forget_old(now_);
      for (int count = arrivals(load_.requests_per_second); count > 0; --count) {
        start(sound_run());
      }
      if (now_ >= begin_crashing && !load_.first_part_crashes) {
        for (int count = arrivals(load_.crashing_per_second); count > 0; --count) {
          start({first_part(0), kCrashingPart, {}, 0, true});
        }
      }
      first_part_guilty_ = load_.first_part_crashes && now_ >= begin_crashing;
    }
    return outcome_;
  }

 private:
  struct Run {
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    TimePoint until{};
    int replica = 0;
    bool crashes = false;
  };
  static constexpr std::uint64_t kCrashingPart = 1;

  RequestQuarantine make_quarantine(const Rule& rule) {
    knobs_.crash_attribution = rule.attribution;
    return RequestQuarantine(knobs_);
  }
  int arrivals(double per_second) {
    const double mean = per_second * std::chrono::duration<double>(kStep).count();
    return std::poisson_distribution<int>(mean)(random_);
  }
  static std::uint64_t first_part(int number) { return 100 + static_cast<std::uint64_t>(number); }

  Run sound_run() {
    const auto first = static_cast<int>(random_() % static_cast<std::uint64_t>(load_.first_parts));
    const std::uint64_t second = 1'000 + random_() % static_cast<std::uint64_t>(load_.second_parts);
    return {first_part(first), second, {}, 0, first_part_guilty_ && first == 0};
  }
  static std::vector<RequestFingerprint> parts_of(const Run& run) {
    return shared_parts("lm", {run.first, run.second, 0});
  }

  void start(Run run) {
    const bool held = is_held(run);
    note_arrival(run, held);
    if (held) {
      return;
    }
    int least_loaded = -1;
    for (int replica = 0; replica < kReplicas; ++replica) {
      const bool up = down_until_[replica] <= now_ && running_[replica] < kSlots;
      if (up && (least_loaded < 0 || running_[replica] < running_[least_loaded])) {
        least_loaded = replica;
      }
    }
    if (least_loaded < 0) {
      return;
    }
    run.replica = least_loaded;
    const Duration run_time = Duration(std::uniform_int_distribution<std::int64_t>(
        Duration(kStep).count(), Duration(kMaxRunTime).count())(random_));
    run.until = now_ + (run.crashes ? Duration(kTimeToCrash) : run_time);
    ++running_[least_loaded];
    runs_.push_back(run);
  }

  bool is_held(const Run& run) {
    const auto verdict = quarantine_.check_parts(parts_of(run), now_);
    const bool on_trial =
        verdict && verdict->trial_due && trials_.may_begin(verdict->suspect, now_);
    if (on_trial) {
      trials_.begin(verdict->suspect, now_);
    }
    return verdict && !on_trial;
  }

  void note_arrival(const Run& run, bool held) {
    const Duration since_fifth = fifth_crash_ ? now_ - *fifth_crash_ : Duration{};
    if (run.crashes) {
      outcome_.sends_when_known += !held && since_fifth > kKnownAfter ? 1 : 0;
      return;
    }
    ++outcome_.sound;
    outcome_.sound_held += held ? 1 : 0;
    if (since_fifth > kSoundAfter && run.first == first_part(0)) {
      ++outcome_.sound_late;
      outcome_.sound_late_held += held ? 1 : 0;
    }
  }

  void end_runs() {
    std::vector<int> crashed;
    for (const Run& run : runs_) {
      if (run.until > now_) {
        continue;
      }
      if (run.crashes) {
        crashed.push_back(run.replica);
        ++outcome_.crashes;
        if (outcome_.crashes == kCrashesCounted) {
          fifth_crash_ = now_;
        }
      }
    }
    for (const int replica : crashed) {
      crash(replica);
    }
    std::erase_if(runs_, [&](const Run& run) {
      const bool over = run.until <= now_;
      if (over) {
        --running_[run.replica];
        note_good_run(run);
      }
      return over;
    });
  }

  void note_good_run(const Run& run) {
    for (const RequestFingerprint& part : parts_of(run)) {
      good_runs_.record(part, now_);
      trials_.clear(part);
      if (rule_.good_runs && quarantine_.accused(part)) {
        quarantine_.take(RequestClearance{part, now_, true}, now_);
      }
    }
  }

  void crash_by_themselves() {
    const Duration since_start = now_ - start_;
    const bool due = since_start > Duration{} && since_start % kMassCrashInterval == Duration{};
    if (!due || mass_crashes_ >= load_.mass_crashes) {
      return;
    }
    ++mass_crashes_;
    for (int replica = 0; replica < kReplicas; ++replica) {
      if (random_() % 2 == 0) {
        crash(replica);
      }
    }
  }

  void crash(int replica) {
    if (down_until_[replica] > now_) {
      return;
    }
    down_until_[replica] = now_ + kRestartTime;
    const std::uint64_t incarnation = ++incarnations_;
    std::erase_if(runs_, [&](const Run& run) {
      if (run.replica != replica) {
        return false;
      }
      for (const RequestFingerprint& part : parts_of(run)) {
        const bool ran_well = rule_.good_runs && good_runs_.last(part).has_value();
        quarantine_.take(CrashEvidence{part, incarnation, now_, true, ran_well}, now_);
      }
      return true;
    });
    running_[replica] = 0;
  }

  const Load load_;
  const Rule rule_;
  std::mt19937_64 random_;
  Knobs knobs_;
  RequestQuarantine quarantine_;
  GoodRunMemory good_runs_{4096};
  const TimePoint start_ = TimePoint(std::chrono::hours(1));
  TimePoint now_ = start_;
  std::map<int, int> running_;
  std::map<int, TimePoint> down_until_;
  std::vector<Run> runs_;
  PartTrials trials_{knobs_};
  std::optional<TimePoint> fifth_crash_;
  bool first_part_guilty_ = false;
  int mass_crashes_ = 0;
  std::uint64_t incarnations_ = 0;
  Outcome outcome_;
};

Outcome sum_of_seeds(const Load& load, const Rule& rule = {}) {
  Outcome sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome outcome = Replay(load, rule, seed).run();
    sum.crashes += outcome.crashes;
    sum.sends_when_known = std::max(sum.sends_when_known, outcome.sends_when_known);
    sum.sound += outcome.sound;
    sum.sound_held += outcome.sound_held;
    sum.sound_late += outcome.sound_late;
    sum.sound_late_held += outcome.sound_late_held;
  }
  std::ostringstream text;
  text << "crashes " << sum.crashes << ", most sends when known " << sum.sends_when_known
       << ", sound held " << sum.sound_held << " of " << sum.sound << ", late "
       << sum.sound_late_held << " of " << sum.sound_late;
  BOOST_TEST_MESSAGE(text.str());
  return sum;
}

void check_bounds(const Outcome& outcome) {
  BOOST_TEST(outcome.sends_when_known <= kSendsAllowed);
  BOOST_TEST(outcome.sound_held * 1'000 <= outcome.sound);
  BOOST_TEST(outcome.sound_late_held * 2 <= outcome.sound_late);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(prompt_part_replay)

BOOST_AUTO_TEST_CASE(a_crashing_part_is_known_and_sound_requests_are_served) {
  check_bounds(sum_of_seeds({}));
}

BOOST_AUTO_TEST_CASE(a_crashing_part_beside_little_other_traffic) {
  Load load;
  load.requests_per_second = 10;
  check_bounds(sum_of_seeds(load));
}

BOOST_AUTO_TEST_CASE(a_crashing_part_in_many_requests) {
  Load load;
  load.crashing_per_second = 20;
  check_bounds(sum_of_seeds(load));
}

BOOST_AUTO_TEST_CASE(a_first_part_that_begins_to_crash_replicas_is_known) {
  Load load;
  load.first_part_crashes = true;
  BOOST_TEST(sum_of_seeds(load).sends_when_known <= kSendsAllowed);
}

BOOST_AUTO_TEST_CASE(crashes_of_many_replicas_at_once_hold_few_sound_requests) {
  Load load;
  load.crashing_per_second = 0;
  load.mass_crashes = 8;
  const Outcome outcome = sum_of_seeds(load);
  BOOST_TEST(outcome.sound_held * 1'000 <= outcome.sound);
}

BOOST_AUTO_TEST_CASE(a_crashing_part_beside_crashes_of_many_replicas) {
  Load load;
  load.mass_crashes = 8;
  check_bounds(sum_of_seeds(load));
}

BOOST_AUTO_TEST_CASE(without_good_runs_sound_requests_are_held) {
  const Outcome outcome = sum_of_seeds({}, Rule{false, true});
  BOOST_TEST(outcome.sound_held * 100 > outcome.sound);
}

BOOST_AUTO_TEST_CASE(without_attribution_more_sound_requests_are_held) {
  const Outcome without = sum_of_seeds({}, Rule{true, false});
  BOOST_TEST(without.sound_held >= sum_of_seeds({}).sound_held);
}

BOOST_AUTO_TEST_SUITE_END()
