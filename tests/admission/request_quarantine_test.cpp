#include "dockpoint/admission/request_quarantine.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace dockpoint;

namespace {

constexpr RequestFingerprint kRequest{1, 2};
constexpr RequestFingerprint kOther{1, 3};

TimePoint at(Duration time) {
  return TimePoint(std::chrono::hours(1)) + time;
}

struct Fixture {
  Knobs knobs;
  RequestQuarantine quarantine{knobs};

  EvidenceEffect record_crash(std::uint64_t replica, Duration time,
                              const RequestFingerprint& request = kRequest) {
    return quarantine.take(CrashEvidence{request, replica, at(time)}, at(time));
  }
  bool is_quarantined(Duration time) const {
    return quarantine.check(kRequest, at(time)).has_value();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(request_quarantine, Fixture)

BOOST_AUTO_TEST_CASE(the_third_replica_crash_quarantines_the_request) {
  BOOST_TEST((record_crash(1, 0s) == EvidenceEffect::kCounted));
  BOOST_TEST((record_crash(2, 1s) == EvidenceEffect::kCounted));
  BOOST_TEST(!is_quarantined(1s));
  BOOST_TEST((record_crash(3, 2s) == EvidenceEffect::kQuarantined));
  BOOST_TEST(is_quarantined(2s));
  BOOST_TEST(!quarantine.check(kOther, at(2s)));
  BOOST_TEST((record_crash(4, 3s) == EvidenceEffect::kCounted));
}

// Regression: no item had ended yet when a quarter of the replicas crashed at one moment; the parts
// of their prompts were quarantined, and their jobs did not end.
BOOST_AUTO_TEST_CASE(a_part_on_some_of_the_replicas_that_crash_at_one_moment_is_not_quarantined) {
  for (std::uint64_t replica = 1; replica <= 8; ++replica) {
    const RequestFingerprint& part = replica % 2 == 0 ? kRequest : kOther;
    quarantine.take(CrashEvidence{part, replica, at(0s), true}, at(0s));
  }
  BOOST_TEST(!is_quarantined(1s));
  BOOST_TEST(!quarantine.check(kOther, at(1s)));
}

// Regression: a part on five of many replicas that crashed in three moments counted as proved
// guilty by five crashes, and was not tried.
BOOST_AUTO_TEST_CASE(a_part_at_a_few_moments_of_many_crashes_is_tried) {
  std::uint64_t replica = 0;
  for (const auto& [time, crashes] : {std::pair(0s, 2), std::pair(3s, 2), std::pair(6s, 1)}) {
    record_crash(++replica, time, kOther);
    for (int crash = 0; crash < crashes; ++crash) {
      quarantine.take(CrashEvidence{kRequest, ++replica, at(time), true}, at(time));
    }
  }
  BOOST_TEST(is_quarantined(6s));
  BOOST_TEST(!quarantine.check(kRequest, at(7s))->trial_due);
  BOOST_TEST(quarantine.check(kRequest, at(8s))->trial_due);
}

BOOST_AUTO_TEST_CASE(a_part_on_all_replicas_that_crash_at_one_moment_is_quarantined) {
  for (std::uint64_t replica = 1; replica <= 3; ++replica) {
    quarantine.take(CrashEvidence{kRequest, replica, at(0s), true}, at(0s));
  }
  BOOST_TEST(is_quarantined(1s));
}

BOOST_AUTO_TEST_CASE(a_crash_observed_by_several_nodes_counts_once) {
  record_crash(1, 0s);
  BOOST_TEST((record_crash(1, 100ms) == EvidenceEffect::kKnown));
  BOOST_TEST((record_crash(1, 200ms) == EvidenceEffect::kKnown));
  BOOST_TEST(!is_quarantined(200ms));
}

BOOST_AUTO_TEST_CASE(relayed_evidence_is_not_refreshed) {
  for (const std::uint64_t replica : {1, 2, 3}) {
    record_crash(replica, 0s);
  }
  for (Duration time = 1s; time < knobs.crash_memory; time += 1s) {
    for (const std::uint64_t replica : {1, 2, 3}) {
      quarantine.take(CrashEvidence{kRequest, replica, at(time - 200ms)}, at(time));
    }
  }
  BOOST_TEST(!is_quarantined(knobs.crash_memory + 1ms));
}

BOOST_AUTO_TEST_CASE(a_request_is_released_when_its_evidence_expires) {
  record_crash(1, 0s);
  record_crash(2, 60s);
  record_crash(3, 120s);
  const auto verdict = quarantine.check(kRequest, at(130s));
  BOOST_REQUIRE(verdict);
  BOOST_TEST(verdict->crashes == 3);
  BOOST_TEST((verdict->since_last_crash == 10s));
  BOOST_TEST((verdict->retry_after == knobs.crash_memory - 130s));
  BOOST_TEST(is_quarantined(knobs.crash_memory));
  BOOST_TEST(!is_quarantined(knobs.crash_memory + 1ms));
  BOOST_TEST((record_crash(4, knobs.crash_memory + 1s) == EvidenceEffect::kQuarantined));
}

BOOST_AUTO_TEST_CASE(expired_evidence_is_ignored) {
  const TimePoint now = at(knobs.crash_memory + 1s);
  for (const std::uint64_t replica : {1, 2, 3}) {
    BOOST_TEST(
        (quarantine.take(CrashEvidence{kRequest, replica, at(0s)}, now) == EvidenceEffect::kKnown));
  }
  BOOST_TEST(!quarantine.check(kRequest, now));
}

BOOST_AUTO_TEST_CASE(evidence_expires_while_the_machine_is_suspended) {
  record_crash(1, 0s);
  record_crash(2, 0s);
  record_crash(3, 0s);
  const Duration woken = knobs.crash_memory + 1h;
  BOOST_TEST(!is_quarantined(woken));
  quarantine.forget_old(at(woken));
  BOOST_TEST(quarantine.empty());
}

BOOST_AUTO_TEST_CASE(a_cleared_request_is_quarantined_again_only_after_new_crashes) {
  record_crash(1, 0s);
  record_crash(2, 1s);
  record_crash(3, 2s);
  BOOST_TEST(quarantine.take(RequestClearance{kRequest, at(5s)}, at(5s)));
  BOOST_TEST(!is_quarantined(5s));
  // Late evidence of a crash before the clearance.
  BOOST_TEST(
      (quarantine.take(CrashEvidence{kRequest, 9, at(4s)}, at(6s)) == EvidenceEffect::kKnown));
  BOOST_TEST(!quarantine.take(RequestClearance{kRequest, at(3s)}, at(6s)));
  // The same clearance relayed by other nodes appears later, because relay time is not counted.
  BOOST_TEST(!quarantine.take(RequestClearance{kRequest, at(6s)}, at(6s)));
  record_crash(4, 7s);
  record_crash(5, 8s);
  record_crash(6, 9s);
  BOOST_TEST(is_quarantined(9s));
}

BOOST_AUTO_TEST_CASE(merging_evidence_is_independent_of_order) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<CrashEvidence> evidence;
    for (int piece = 0; piece < 12; ++piece) {
      const std::uint64_t replica = random() % 9;
      evidence.push_back({{1, random() % 4}, replica, at(std::chrono::seconds(replica))});
    }
    const RequestClearance clearance{{1, 0}, at(4s)};
    RequestQuarantine nodes[] = {RequestQuarantine(knobs), RequestQuarantine(knobs)};
    for (RequestQuarantine& node : nodes) {
      std::shuffle(evidence.begin(), evidence.end(), random);
      const std::size_t cleared_before = random() % evidence.size();
      for (std::size_t index = 0; index < evidence.size(); ++index) {
        if (index == cleared_before) {
          node.take(clearance, at(10s));
        }
        node.take(evidence[index], at(10s));
      }
    }
    for (std::uint64_t request = 0; request < 4; ++request) {
      const auto left = nodes[0].check({1, request}, at(10s));
      const auto right = nodes[1].check({1, request}, at(10s));
      BOOST_TEST(left.has_value() == right.has_value(), "seed " << seed);
    }
  }
}

// Guards against accepted items that are never run again: crashes under them accuse nobody.
BOOST_AUTO_TEST_CASE(crashes_under_items_hold_nothing) {
  constexpr RequestFingerprint kItem{3, 3};
  for (std::uint64_t replica = 0; replica < 20; ++replica) {
    quarantine.note_crash(replica, at(1s));
  }
  BOOST_TEST(!quarantine.check(kItem, at(1s)));
  BOOST_TEST(quarantine.empty());
}

BOOST_AUTO_TEST_CASE(crashes_under_items_show_that_a_moment_does_not_point_to_a_part) {
  constexpr RequestFingerprint kPart{4, 4};
  const auto crash_part = [&](std::uint64_t replica) {
    CrashEvidence evidence{kPart, replica, at(1s)};
    evidence.prompt_part = true;
    return quarantine.take(evidence, at(1s));
  };
  quarantine.note_crash(10, at(1s));
  for (const std::uint64_t replica : {1, 2, 3}) {
    crash_part(replica);
  }
  BOOST_TEST(!quarantine.check(kPart, at(1s)));
}

// Builds that suspected items still send evidence against them while nodes are upgraded.
BOOST_AUTO_TEST_CASE(evidence_against_an_item_from_an_earlier_build_is_dropped) {
  std::string bytes = encode(CrashReport{{{kRequest, 5, at(1s)}}, {}, false}, at(4s));
  const std::size_t batch_flag = bytes.find('\xc2');
  BOOST_REQUIRE(batch_flag != std::string::npos);
  bytes[batch_flag] = '\xc3';
  const auto read = decode_crash_report(bytes, at(4s));
  BOOST_REQUIRE(read);
  BOOST_TEST(read->evidence.empty());
}

BOOST_AUTO_TEST_CASE(tracked_requests_are_bounded_and_quarantined_ones_are_not_evicted) {
  record_crash(1, 0s);
  record_crash(2, 0s);
  record_crash(3, 0s);
  for (std::uint64_t request = 0; request < 3 * knobs.crash_requests; ++request) {
    record_crash(1, std::chrono::milliseconds(request), {7, request});
  }
  BOOST_TEST(quarantine.size() <= knobs.crash_requests);
  BOOST_TEST(is_quarantined(20s));
}

BOOST_AUTO_TEST_CASE(crashes_stored_for_one_request_are_bounded) {
  for (std::uint64_t replica = 0; replica < 1'000; ++replica) {
    record_crash(replica, std::chrono::milliseconds(replica));
  }
  BOOST_TEST(quarantine.report(kRequest).evidence.size() == knobs.crashes_per_request);
  BOOST_TEST(is_quarantined(1s));
}

BOOST_AUTO_TEST_CASE(reports_encode_times_as_ages) {
  CrashReport report;
  report.evidence.push_back({kRequest, 5, at(1s)});
  report.clearances.push_back({kOther, at(2s)});
  report.reply_requested = true;
  const TimePoint elsewhere = at(9h);
  const auto read = decode_crash_report(encode(report, at(4s)), elsewhere);
  BOOST_REQUIRE(read);
  BOOST_TEST((read->evidence.at(0).request == kRequest));
  BOOST_TEST(read->evidence.at(0).replica == 5U);
  BOOST_TEST((read->evidence.at(0).ended_at == elsewhere - 3s));
  BOOST_TEST((read->clearances.at(0).cleared_at == elsewhere - 2s));
  BOOST_TEST(read->reply_requested);
}

BOOST_AUTO_TEST_CASE(corrupt_reports_are_rejected_or_decoded_without_crashing) {
  CrashReport report;
  for (std::uint64_t index = 0; index < 20; ++index) {
    report.evidence.push_back({{index, ~index}, index, at(0s)});
  }
  const std::string whole = encode(report, at(1s));
  std::mt19937_64 random(1);
  for (int round = 0; round < 5'000; ++round) {
    std::string damaged = whole.substr(0, random() % (whole.size() + 1));
    for (std::size_t flips = random() % 4; flips > 0 && !damaged.empty(); --flips) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    const auto read = decode_crash_report(damaged, at(1s));
    BOOST_TEST((!read || read->evidence.size() <= kEvidencePerReport));
  }
}

BOOST_AUTO_TEST_SUITE_END()
