/// Tests of nodes that read the fleet's records from each other, over real connections.

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>

#include "emulator/memory_log.hpp"
#include "gateway/http_record_transport.hpp"
#include "gateway/record_server.hpp"
#include "gateway/relayed_log.hpp"
#include "net/clock.hpp"

using namespace dockpoint;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t kPort = 28'151;
const TopicPartition kReplicas{"replicas", 0};
constexpr std::size_t kRecords = 2'500;
constexpr Duration kBound = 2s;

/// A node that relays records and one that reads from it, both on the same log.
struct RelayFixture {
  RelayFixture() {
    for (std::size_t begin = 0; begin < kRecords; begin += 100) {
      std::vector<KeyedRecord> records;
      for (std::size_t index = begin; index < begin + 100; ++index) {
        records.push_back({"r" + std::to_string(index), "value", 0});
      }
      log.append(kReplicas, records, std::nullopt, [](const AppendOutcome&) {});
    }
    server.keep(kReplicas, true);
    control->listen(address());
    reader.expect_others(true);
    reader.set_members(alive());
    reader.others_run();
  }

  static std::string address() { return "127.0.0.1:" + std::to_string(kPort); }
  /// @return members of one zone; this node is not among those that relay records.
  std::vector<const Member*> alive() {
    members.clear();
    for (int index = 0; index < 60; ++index) {
      Member member;
      member.id = "node-" + std::to_string(index);
      member.zone = "zone";
      member.control_address = address();
      member.capabilities = kAllCapabilities;
      members.push_back(member);
    }
    std::vector<const Member*> pointers;
    for (const Member& member : members) {
      pointers.push_back(&member);
    }
    return pointers;
  }
  /// Loads the log's content into the relaying node.
  void load_server() { server.replace(kReplicas, log.history(kReplicas), kRecords); }

  void run(std::chrono::milliseconds time) {
    const TimePoint end = net::steady_now() + time;
    while (net::steady_now() < end) {
      loop.run_for(5ms);
      loop.restart();
      log.advance(net::steady_now());
      reader.tick(net::steady_now());
      server.tick(net::steady_now());
      client.tick(net::steady_now());
    }
  }
  /// Runs until the call has completed.
  template <class Outcome>
  Outcome wait_for(const std::shared_ptr<std::optional<Outcome>>& outcome) {
    for (int round = 0; round < 600 && !outcome->has_value(); ++round) {
      run(10ms);
    }
    BOOST_TEST_REQUIRE(outcome->has_value());
    return **outcome;
  }
  NewestOutcome load(const std::string& after) {
    const auto outcome = std::make_shared<std::optional<NewestOutcome>>();
    reader.newest(kReplicas, after, [outcome](NewestOutcome result) { *outcome = result; });
    return wait_for(outcome);
  }
  std::shared_ptr<std::optional<ReadOutcome>> start_read(LogOffset from, Duration wait) {
    const auto outcome = std::make_shared<std::optional<ReadOutcome>>();
    reader.read(kReplicas, from, {wait, 1s}, [outcome](ReadOutcome result) { *outcome = result; });
    return outcome;
  }

  boost::asio::io_context loop{1};
  net::HttpClient client{loop};
  MemoryLog log{LogLimits{1, 4096, 1 << 20, 1s}, 1};
  std::vector<Member> members;
  WatchAge standing{WatchState::kFollowing, 300ms};
  int asked_for_parts = 0;
  RecordServer server{[this](const TopicPartition&) { return standing; },
                      [this](std::uint64_t, const KeyedRecord& record) {
                        ++asked_for_parts;
                        return record.value.empty() || record.key.ends_with('7');
                      },
                      [] {
                        return std::vector<ReplicaCount>{{"lm", "zone", kRecords, 4, true}};
                      }};
  std::unique_ptr<net::HttpServer> control = std::make_unique<net::HttpServer>(
      loop, [this](const auto& exchange) { serve_records(server, exchange); });
  std::vector<ReplicaCount> counts;
  HttpRecordTransport transport{loop, client};
  RelayedLog reader{transport,
                    log,
                    net::steady_now,
                    {kReplicas},
                    "node-x",
                    "zone",
                    kBound,
                    [this](const std::vector<ReplicaCount>& received) { counts = received; },
                    {}};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(record_relay)

BOOST_AUTO_TEST_CASE(node_of_a_large_fleet_loads_its_subset_from_another_node) {
  RelayFixture world;
  world.load_server();
  const NewestOutcome page = world.load("");
  BOOST_TEST((page.status == LogStatus::kOk));
  BOOST_TEST(page.records.size() == kRecords / 10);
  BOOST_TEST(page.end == kRecords);
  BOOST_TEST((page.age == 300ms));
  BOOST_TEST(world.reader.relays());
  BOOST_TEST_REQUIRE(world.counts.size() == 1U);
  BOOST_TEST(world.counts.front().replicas == kRecords);
}

BOOST_AUTO_TEST_CASE(source_that_is_still_loading_is_retried) {
  RelayFixture world;
  const auto outcome = std::make_shared<std::optional<NewestOutcome>>();
  world.reader.newest(kReplicas, "", [outcome](NewestOutcome result) { *outcome = result; });
  world.run(400ms);
  BOOST_TEST(!outcome->has_value());
  world.load_server();
  BOOST_TEST(world.wait_for(outcome).records.size() == kRecords / 10);
}

BOOST_AUTO_TEST_CASE(read_waits_at_the_source_until_a_matching_record_arrives) {
  RelayFixture world;
  world.load_server();
  world.load("");
  const auto read = world.start_read(kRecords, 2s);
  world.run(100ms);
  BOOST_TEST(!read->has_value());
  world.server.add(kReplicas, {"r12", "of another part", kRecords});
  world.run(100ms);
  BOOST_TEST(!read->has_value());
  world.server.add(kReplicas, {"r17", "news", kRecords + 1});
  const ReadOutcome outcome = world.wait_for(read);
  BOOST_TEST_REQUIRE(outcome.records.size() == 1U);
  BOOST_TEST(outcome.records.front().value == "news");
  BOOST_TEST(outcome.next == kRecords + 2);
}

// A reader waiting on a source that has lost the log would otherwise not notice until its wait
// expires.
BOOST_AUTO_TEST_CASE(source_that_loses_the_log_refuses_waiting_reads_at_once) {
  RelayFixture world;
  world.load_server();
  world.load("");
  const auto read = world.start_read(10, 2s);
  world.run(50ms);
  const auto waiting = world.start_read(kRecords, 2s);
  world.run(50ms);
  world.standing.state = WatchState::kOverdue;
  const TimePoint lost = net::steady_now();
  world.wait_for(waiting);
  BOOST_TEST((net::steady_now() - lost < 500ms));
  BOOST_TEST((world.wait_for(read).status == LogStatus::kCompacted));
}

// The log is not read at once, because the sources may be slow due to a slow log.
BOOST_AUTO_TEST_CASE(without_a_source_the_log_is_read_within_the_freshness_bound) {
  RelayFixture world;
  world.load_server();
  world.load("");
  world.control.reset();
  const TimePoint began = net::steady_now();
  ReadOutcome outcome;
  int refused = 0;
  while (outcome.status != LogStatus::kOk && net::steady_now() - began < kBound) {
    outcome = world.wait_for(world.start_read(kRecords - 1, 0s));
    refused += outcome.status == LogStatus::kRefused ? 1 : 0;
    world.run(50ms);
  }
  BOOST_TEST(refused > 0);
  BOOST_TEST((net::steady_now() - began < kBound * 3 / 4));
  BOOST_TEST_REQUIRE((outcome.status == LogStatus::kOk));
  BOOST_TEST(outcome.records.size() == 1U);
}

BOOST_AUTO_TEST_CASE(small_fleet_reads_directly_from_the_log) {
  RelayFixture world;
  MemoryLog small{LogLimits{1, 4096, 1 << 20, 1s}, 1};
  small.append(kReplicas, {{"r1", "value", 0}}, std::nullopt, [](const AppendOutcome&) {});
  RelayedLog reader{world.transport, small,  net::steady_now,    {kReplicas}, "node-x",
                    "zone",          kBound, [](const auto&) {}, {}};
  reader.expect_others(true);
  reader.set_members(world.alive());
  const auto outcome = std::make_shared<std::optional<NewestOutcome>>();
  reader.newest(kReplicas, "", [outcome](NewestOutcome result) { *outcome = result; });
  for (int round = 0; round < 20; ++round) {
    small.advance(net::steady_now());
    reader.tick(net::steady_now());
    world.run(10ms);
  }
  BOOST_TEST_REQUIRE(outcome->has_value());
  BOOST_TEST((*outcome)->records.size() == 1U);
  BOOST_TEST(reader.direct());
}

BOOST_AUTO_TEST_CASE(malformed_requests_and_responses_are_rejected) {
  BOOST_TEST(!read_record_target("/dockpoint/records").has_value());
  BOOST_TEST(
      !read_record_target("/dockpoint/records?topic=t&partition=x&node=n&after=").has_value());
  BOOST_TEST(
      !read_record_target("/dockpoint/records?topic=t&partition=0&node=n&from=-1").has_value());
  const auto question =
      read_record_target(record_target({{"a topic", 3}, "n&1", true, true, 77, 1'200ms, {}}));
  BOOST_TEST_REQUIRE(question.has_value());
  BOOST_TEST(question->partition.topic == "a topic");
  BOOST_TEST(question->node == "n&1");
  BOOST_TEST(question->from == 77U);
  BOOST_TEST((question->wait == 1'200ms));
  BOOST_TEST(!unpack<RecordAnswer>("\x93no").has_value());
  BOOST_TEST(!unpack<RecordAnswer>(pack(RecordAnswer{}).substr(0, 3)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
