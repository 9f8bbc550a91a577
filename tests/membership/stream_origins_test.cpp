#include "dockpoint/membership/stream_origins.hpp"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace dockpoint;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow = TimePoint{} + 1000s;
const StreamKey kStream = stream_key("", "first");

/// A node that sees a single version, and one other member.
struct Fixture {
  Knobs knobs;
  ReplicaDirectory replicas{knobs};
  SoftwareVersions versions{knobs};
  Member peer;
  std::vector<const Member*> alive{&peer};
  std::optional<TimePoint> confirmation_wanted;
  std::optional<OriginVerdict> verdict;
  StreamOrigins origins{knobs,
                        versions,
                        "node",
                        [this]() -> const std::vector<const Member*>& { return alive; },
                        [](const std::string&, const std::string&) {},
                        [this](TimePoint as_of) { confirmation_wanted = as_of; }};

  Fixture() {
    peer.id = "peer";
    peer.peer_address = "peer";
    peer.capabilities = kAllCapabilities;
    add_version("v1");
    origins.tick(kNow);
  }
  void resolve(TimePoint now, StreamIdentity identity = StreamIdentity::kAttempt) {
    origins.resolve(kStream, identity, "lm", now,
                    [this](const OriginVerdict& found) { verdict = found; });
  }
  void add_version(const std::string& version) {
    ReplicaRecord record{"replica-" + version, "lm", {}, "zone", 8, false, {}};
    record.software_version = version;
    replicas.upsert(record, kNow);
    versions.observe(replicas, kNow);
  }
  void confirm(TimePoint as_of, TimePoint now) {
    versions.confirm(as_of);
    origins.confirmed(now);
  }
  void run(TimePoint from, Duration time) {
    for (Duration passed{}; passed <= time; passed += 50ms) {
      origins.tick(from + passed);
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(stream_origins, Fixture)

BOOST_AUTO_TEST_CASE(a_node_without_other_members_has_its_view_confirmed) {
  alive.clear();
  resolve(kNow);
  BOOST_TEST(!verdict.has_value());
  BOOST_TEST((confirmation_wanted == kNow));
  confirm(kNow, kNow + 20ms);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((verdict->source == OriginSource::kSoleVersion));
}

BOOST_AUTO_TEST_CASE(a_confirmation_of_before_the_return_does_not_count) {
  alive.clear();
  resolve(kNow);
  confirm(kNow - 1ms, kNow);
  BOOST_TEST(!verdict.has_value());
  run(kNow, knobs.stream_origin_confirmation_limit);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((verdict->source == OriginSource::kUnconfirmed));
}

// The record that the peer sent waits in the node's socket when its timers run.
BOOST_AUTO_TEST_CASE(answers_that_arrived_during_a_pause_are_read_before_a_question_ends) {
  resolve(kNow);
  const TimePoint resumed = kNow + 2s;
  origins.tick(resumed);
  BOOST_TEST(!verdict.has_value());
  StreamOriginMessage answer;
  answer.records.push_back({kStream, {"lm", "v2"}});
  origins.take(answer, "peer", resumed);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST(verdict->origin.software_version == "v2");
}

// One of the answers is read before the timers run.
BOOST_AUTO_TEST_CASE(the_first_answer_after_a_pause_does_not_end_the_question) {
  Member other = peer;
  other.id = "other";
  other.peer_address = "other";
  alive.push_back(&other);
  resolve(kNow);
  confirm(kNow, kNow);
  StreamOriginMessage unknown;
  unknown.unknown.push_back({kStream, false});
  origins.take(unknown, "peer", kNow + 2s);
  BOOST_TEST(!verdict.has_value());
}

BOOST_AUTO_TEST_CASE(a_node_that_sees_a_part_of_the_replicas_claims_no_sole_version) {
  alive.clear();
  origins.set_view_partial(true);
  resolve(kNow);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((verdict->source == OriginSource::kUnknown));
}

// Two callers with the same content, at two versions: this node served one of them.
BOOST_AUTO_TEST_CASE(a_record_under_a_content_does_not_decide_against_that_of_another_node) {
  origins.record(kStream, {"lm", "v1"}, kNow);
  resolve(kNow, StreamIdentity::kContent);
  BOOST_TEST(!verdict.has_value());
  StreamOriginMessage answer;
  answer.records.push_back({kStream, {"lm", "v2"}});
  origins.take(answer, "peer", kNow);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((verdict->source == OriginSource::kUnknown));
  verdict.reset();
  resolve(kNow, StreamIdentity::kContent);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((verdict->source == OriginSource::kUnknown));
}

BOOST_AUTO_TEST_CASE(a_record_under_a_content_decides_if_no_node_contradicts_it) {
  add_version("v2");
  origins.record(kStream, {"lm", "v1"}, kNow);
  resolve(kNow, StreamIdentity::kContent);
  BOOST_TEST(!verdict.has_value());
  StreamOriginMessage answer;
  answer.unknown.push_back({kStream, true, false});
  origins.take(answer, "peer", kNow);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST(verdict->origin.software_version == "v1");
}

BOOST_AUTO_TEST_CASE(silent_nodes_may_contradict_a_record_under_a_content) {
  add_version("v2");
  origins.record(kStream, {"lm", "v1"}, kNow);
  resolve(kNow, StreamIdentity::kContent);
  run(kNow, knobs.stream_origin_question_limit);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((verdict->source == OriginSource::kUnknown));
}

BOOST_AUTO_TEST_CASE(a_record_under_a_content_does_not_decide_at_a_node_that_hears_nobody) {
  alive.clear();
  origins.record(kStream, {"lm", "v1"}, kNow);
  resolve(kNow, StreamIdentity::kContent);
  run(kNow, knobs.stream_origin_confirmation_limit);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((verdict->source == OriginSource::kUnconfirmed));
}

// The stream of the second caller may have begun after the confirmation that the first one waits
// for.
BOOST_AUTO_TEST_CASE(a_caller_with_the_same_content_needs_a_confirmation_of_its_own) {
  alive.clear();
  std::vector<OriginSource> sources;
  const auto add = [&](const OriginVerdict& found) { sources.push_back(found.source); };
  origins.resolve(kStream, StreamIdentity::kContent, "lm", kNow, add);
  origins.resolve(kStream, StreamIdentity::kContent, "lm", kNow + 20ms, add);
  confirm(kNow, kNow + 40ms);
  BOOST_TEST(sources.size() == 1U);
  confirm(kNow + 40ms, kNow + 60ms);
  BOOST_REQUIRE(sources.size() == 2U);
  BOOST_TEST((sources[1] == OriginSource::kSoleVersion));
}

BOOST_AUTO_TEST_CASE(pauses_that_recur_do_not_prolong_a_question_without_end) {
  constexpr Duration kPause = 150ms;
  constexpr int kMaxPauses = 12;
  resolve(kNow);
  for (int pause = 1; pause <= kMaxPauses; ++pause) {
    origins.tick(kNow + pause * kPause);
  }
  BOOST_TEST(verdict.has_value());
}

BOOST_AUTO_TEST_CASE(nothing_is_read_while_several_versions_are_known) {
  add_version("v2");
  resolve(kNow);
  run(kNow, knobs.stream_origin_question_limit);
  BOOST_TEST(!confirmation_wanted.has_value());
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((verdict->source == OriginSource::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()
