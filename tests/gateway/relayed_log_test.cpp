#include "gateway/relayed_log.hpp"

#include <boost/test/unit_test.hpp>

#include "emulator/memory_log.hpp"
#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

const TopicPartition kPartition{"replicas", 0};
const std::string kZone = "zone-a";
constexpr std::size_t kNodes = 70;
constexpr std::int64_t kTickMs = 50;

/// Other nodes whose views are all of one age; they answer at once.
class StaleNodes : public RecordTransport {
 public:
  void ask(const std::string& /*address*/, const RecordQuestion& question, Duration /*limit*/,
           std::function<void(RecordReply)> done) override {
    ++requests;
    RecordAnswer answer = answer_of(ReadOutcome{LogStatus::kOk, {}, question.from, question.from});
    answer.age_ms = age_ms;
    answer.held_ms = 0;
    pending.push_back([done = std::move(done), answer] { done({answer, false}); });
  }
  void answer_all() {
    for (const auto& answer : std::exchange(pending, {})) {
      answer();
    }
  }

  std::size_t requests = 0;
  std::uint64_t age_ms = 0;
  std::vector<std::function<void()>> pending;
};

/// A leaf of a large zone.
struct Fixture {
  std::int64_t now = 0;
  MemoryLog log{LogLimits{1, 4096, 65536, std::chrono::seconds(1)}, 1};
  StaleNodes nodes;
  std::vector<Member> members{kNodes};
  RelayedLog relayed{nodes,
                     log,
                     [this] { return at(now); },
                     {kPartition},
                     "leaf",
                     kZone,
                     std::chrono::seconds(5),
                     {[](const auto&) {}, [](RelayedLog::AnswerOrigin, Duration) {}},
                     {10, 100, 10}};

  Fixture() {
    std::vector<const Member*> alive;
    for (Member& member : members) {
      member.id = "node-" + std::to_string(alive.size());
      member.zone = kZone;
      member.control_address = member.id;
      member.capabilities = kAllCapabilities;
      alive.push_back(&member);
    }
    relayed.newest(kPartition, {}, [](const NewestOutcome&) {});
    relayed.set_members(alive);
    relayed.set_replicas(kNodes);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(relayed_log, Fixture)

// Nodes with old views answered at once and were asked again at once, so that they had no time to
// catch up.
BOOST_AUTO_TEST_CASE(source_with_an_older_view_is_not_asked_again_at_once) {
  BOOST_TEST_REQUIRE(relayed.relays());
  BOOST_TEST_REQUIRE(!relayed.passes_on());
  constexpr std::int64_t kRunMs = 1'000;
  constexpr std::size_t kMaxRequests = 20;
  const TimePoint confirmed_at = at(0);
  const std::function<void()> read = [&] {
    relayed.read(kPartition, 0, {{}, std::chrono::seconds(1), confirmed_at},
                 [&](const ReadOutcome&) { read(); });
  };
  nodes.age_ms = 4'000;
  read();
  for (; now < kRunMs; ++now) {
    nodes.answer_all();
    if (now % kTickMs == 0) {
      relayed.tick(at(now));
    }
  }
  BOOST_TEST(nodes.requests > 1U);
  BOOST_TEST(nodes.requests <= kMaxRequests);
}

BOOST_AUTO_TEST_SUITE_END()
