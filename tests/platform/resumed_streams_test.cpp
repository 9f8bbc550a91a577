/// Tests that a resumed stream holds the output of one software version, while replicas of two
/// versions serve side by side. Replicas do not check what they resume, so their output names its
/// version.

#include <algorithm>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "platform/gateway_node.hpp"
#include "platform/replica_records.hpp"
#include "platform/stand_in_store.hpp"
#include "platform/stand_ins.hpp"
#include "platform/wire_names.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

constexpr std::uint16_t kFirstReplicaPort = 28'230;
constexpr int kReplicasPerVersion = 3;
constexpr int kNodes = 3;
constexpr int kEvents = 6;
/// Event after which the first run of a stream breaks.
constexpr int kBreakAfter = 3;
constexpr int kStreams = 24;

/// Behavior of a replica that runs a stream from its beginning, named by the request's body.
constexpr const char* kBreaks = "break";  ///< Resets the connection after `kBreakAfter` events.
constexpr const char* kStalls = "stall";  ///< Sends nothing more after `kBreakAfter` events.

constexpr const char* kConfiguration = R"({"version":3,"routeList":[
 {"name":"here","host":"a.example","pathPrefix":"/here/","type":"streaming","timeoutMs":5000,
  "targetMs":1000,"gapTargetMs":1000,"priority":0,"service":"lm","attempts":2,"resumable":true},
 {"name":"batch","host":"a.example","pathPrefix":"/batch/","type":"batch","timeoutMs":5000,
  "targetMs":1000,"completionTargetMs":20000,"retentionS":60,"priority":2,"service":"lm",
  "attempts":3},
 {"name":"caller","host":"a.example","pathPrefix":"/caller/","type":"streaming","timeoutMs":5000,
  "targetMs":1000,"gapTargetMs":1000,"priority":0,"service":"lm","attempts":1,"resumable":true}],
 "services":[{"name":"lm","healthPath":"/healthz","maxConns":50,"engine":{"slots":8,
  "kvCacheTokens":1000}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,
  "headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

constexpr const char* kBreaksInBase64 = "YnJlYWs=";
constexpr const char* kStallsInBase64 = "c3RhbGw=";

/// What a caller has of a stream.
struct ReceivedStream {
  std::string first_attempt;
  int status = 0;  ///< Of the last attempt.
  int last_event = 0;
  std::set<std::string> versions;
  bool complete = false;

  /// Adds the events of an answer.
  void take(const std::string& body) {
    std::size_t at = 0;
    while ((at = body.find("id: ", at)) != std::string::npos) {
      const std::size_t data = body.find("data: ", at);
      last_event = std::stoi(body.substr(at + 4));
      versions.insert(body.substr(data + 6, body.find('\n', data) - data - 6));
      at = data;
    }
    complete = last_event == kEvents;
  }
};

/// Nodes and replicas, at first none.
struct Fleet {
  boost::asio::io_context loop{1};
  StandInStore store{loop, GatewayNode::kStorePort, GatewayNode::kPartitions};
  net::HttpClient caller{loop};
  std::list<StandInReplica> replicas;
  std::map<std::string, std::string> version_of;  ///< By replica id.
  std::map<int, std::unique_ptr<GatewayNode>> nodes;
  std::vector<net::ExchangePtr> stalled;
  int requests = 0;

  void add_replicas(const std::string& version, int count) {
    for (int index = 0; index < count; ++index) {
      add_replica(version);
    }
  }

  void add_replica(const std::string& version) {
    const std::string id = "r" + std::to_string(replicas.size());
    const auto port = static_cast<std::uint16_t>(kFirstReplicaPort + replicas.size());
    version_of[id] = version;
    replicas.emplace_back(loop, id, port, [this, version](const net::ExchangePtr& exchange) {
      run(version, exchange);
    });
    store.put(platform::kReplicasTopic, id, record_of(id));
  }

  /// @return the record of a ready replica, by the number in its id.
  std::string record_of(const std::string& id) {
    const int port = kFirstReplicaPort + std::stoi(id.substr(1));
    nlohmann::json record = replica_record("127.0.0.1:" + std::to_string(port), 8, "ready");
    record["version"] = version_of[id];
    return record.dump();
  }

  /// Runs a stream: resumes it after `Last-Event-Id` if the request names one.
  void run(const std::string& version, const net::ExchangePtr& exchange) {
    const std::string_view resumed = exchange->request().headers.get("Last-Event-Id");
    const int first = resumed.empty() ? 1 : std::stoi(std::string(resumed)) + 1;
    const bool interrupted = resumed.empty() && exchange->body() != "whole";
    net::Headers headers = genuine_headers(exchange);
    headers.add("Content-Type", "text/event-stream");
    exchange->begin({200, {}, headers});
    for (int event = first; event <= (interrupted ? kBreakAfter : kEvents); ++event) {
      exchange->write("id: " + std::to_string(event) + "\ndata: " + version + "\n\n");
    }
    if (!interrupted) {
      exchange->end();
    } else if (exchange->body() == kBreaks) {
      exchange->abort();
    } else {
      stalled.push_back(exchange);
    }
  }

  virtual ~Fleet() = default;

  virtual void poll_once() {
    loop.run_one_for(std::chrono::milliseconds(5));
    store.tick();
  }
  void wait_for(const std::function<bool()>& done) {
    while (!done()) {
      poll_once();
    }
  }
  void run_for(Duration time) {
    const TimePoint end = net::steady_now() + time;
    wait_for([&] { return net::steady_now() >= end; });
  }
  /// Waits until all nodes know all replicas and each other.
  void wait_until_ready() {
    for (const auto& [number, node] : nodes) {
      wait_until_serves(number);
    }
    run_for(std::chrono::seconds(1));
  }
  void wait_until_serves(int node) {
    wait_for([&] {
      ReceivedStream stream;
      attempt(stream, node, "/here/1", "whole");
      return stream.status == 200;
    });
  }

  /// Starts an attempt of a caller: its first one, or one that resumes the stream.
  std::shared_ptr<std::optional<net::SimpleCall::Outcome>> start_attempt(ReceivedStream& stream,
                                                                         int node,
                                                                         const std::string& path,
                                                                         const std::string& body) {
    const std::string id = "request-" + std::to_string(++requests);
    net::Headers headers{{"Host", "a.example"},
                         {"Attempt-Id", id},
                         {"Deadline-Ms", "5000"},
                         {"Content-Length", std::to_string(body.size())}};
    if (stream.last_event > 0) {
      headers.add("Last-Event-Id", std::to_string(stream.last_event));
      headers.add("Resumes", stream.first_attempt);
    } else {
      stream.first_attempt = id;
    }
    const auto result = std::make_shared<std::optional<net::SimpleCall::Outcome>>();
    net::SimpleCall::start(caller, loop, {*Address::parse(GatewayNode::address(node, 0)), "caller"},
                           net::serialize(net::RequestHead{"POST", path, headers}) + body, {},
                           std::chrono::seconds(5),
                           [result](net::SimpleCall::Outcome outcome) { *result = outcome; });
    return result;
  }

  void attempt(ReceivedStream& stream, int node, const std::string& path, const std::string& body) {
    const auto result = start_attempt(stream, node, path, body);
    wait_for([&] { return result->has_value(); });
    stream.status = (*result)->head.status;
    stream.take((*result)->body);
  }

  /// @param encoded_body body of all items, in base64. @return ids of the jobs.
  std::vector<std::string> submit_jobs(int jobs, int items, const std::string& encoded_body) {
    std::vector<std::string> ids;
    for (int job = 0; job < jobs; ++job) {
      nlohmann::json document;
      for (int item = 0; item < items; ++item) {
        nlohmann::json entry;
        entry["id"] = std::to_string(job) + "-" + std::to_string(item);
        entry["path"] = "/batch/1";
        entry["headers"] = nlohmann::json::object();
        entry["body"] = encoded_body;
        entry["tokenCount"] = 10;
        document["requests"].push_back(entry);
      }
      ReceivedStream submission;
      attempt(submission, 1, "/batch/x", document.dump());
      BOOST_REQUIRE(submission.status == 202);
      ids.push_back(submission.first_attempt);
    }
    return ids;
  }

  /// @return the texts of the items that have succeeded.
  std::vector<std::string> texts_of(const std::string& job) {
    std::optional<net::SimpleCall::Outcome> result;
    const net::RequestHead head{
        "GET", "/v1/lots/" + job + "?sinceRevision=0", {{"Host", "a.example"}}};
    net::SimpleCall::start(caller, loop, {*Address::parse(GatewayNode::address(1, 0)), "caller"},
                           net::serialize(head), {}, std::chrono::seconds(5),
                           [&](net::SimpleCall::Outcome outcome) { result = std::move(outcome); });
    wait_for([&] { return result.has_value(); });
    std::vector<std::string> texts;
    if (result->failure || result->head.status != 200) {
      return texts;
    }
    const nlohmann::json page = nlohmann::json::parse(result->body);
    for (const nlohmann::json& entry : page["results"]) {
      BOOST_TEST(entry["state"] == "succeeded");
      texts.push_back(entry["text"]);
    }
    return texts;
  }

  /// Waits until all items of the jobs have succeeded.
  std::vector<std::string> wait_for_texts(const std::vector<std::string>& jobs, int items) {
    std::vector<std::string> texts;
    for (const std::string& job : jobs) {
      std::vector<std::string> of_job;
      while (of_job.size() < static_cast<std::size_t>(items)) {
        run_for(std::chrono::milliseconds(50));
        of_job = texts_of(job);
      }
      texts.insert(texts.end(), of_job.begin(), of_job.end());
    }
    return texts;
  }

  /// @return how many texts are not the whole output of one software version.
  static std::ptrdiff_t spoiled(const std::vector<std::string>& texts) {
    return std::count_if(texts.begin(), texts.end(), [](const std::string& text) {
      return text != "v1\nv1\nv1\nv1\nv1\nv1" && text != "v2\nv2\nv2\nv2\nv2\nv2";
    });
  }

  static std::ptrdiff_t mixed(const std::vector<ReceivedStream>& streams) {
    return std::count_if(streams.begin(), streams.end(),
                         [](const ReceivedStream& stream) { return stream.versions.size() > 1; });
  }
  static std::ptrdiff_t complete(const std::vector<ReceivedStream>& streams) {
    return std::count_if(streams.begin(), streams.end(),
                         [](const ReceivedStream& stream) { return stream.complete; });
  }
};

/// Three nodes and replicas of two software versions.
struct Fixture : Fleet {
  Fixture() {
    store.put(platform::kConfigurationTopic, platform::kConfigurationKey, kConfiguration);
    add_replicas("v1", kReplicasPerVersion);
    add_replicas("v2", kReplicasPerVersion);
    for (int node = 1; node <= kNodes; ++node) {
      nodes[node] = std::make_unique<GatewayNode>(loop, node);
    }
    wait_until_ready();
  }
};

/// Replicas of one software version, and a last node that can stand still and be cut off from the
/// log: it runs on an event loop of its own, and follows a copy of the log.
struct OutOfStepFixture : Fleet {
  static constexpr std::uint16_t kCopyPort = GatewayNode::kStorePort + 1;
  static constexpr int kOutOfStep = kNodes;

  boost::asio::io_context own_loop{1};
  StandInStore copy{loop, kCopyPort, GatewayNode::kPartitions};
  std::unique_ptr<GatewayNode> out_of_step;
  bool stands_still = false;

  OutOfStepFixture() {
    add_replicas("v1", kReplicasPerVersion);
    for (StandInStore* log : {&store, &copy}) {
      log->put(platform::kConfigurationTopic, platform::kConfigurationKey, kConfiguration);
    }
    for (const auto& [id, version] : version_of) {
      copy.put(platform::kReplicasTopic, id, record_of(id));
    }
    for (int node = 1; node < kOutOfStep; ++node) {
      nodes[node] = std::make_unique<GatewayNode>(loop, node);
    }
    out_of_step = std::make_unique<GatewayNode>(own_loop, kOutOfStep, kCopyPort);
    wait_until_ready();
    wait_until_serves(kOutOfStep);
  }

  /// The node stands still, hears no datagram that is sent to it from now on, and is cut off from
  /// the log.
  void fall_out_of_step() {
    stands_still = true;
    copy.log.faults.down = true;
    fill_datagram_buffer();
  }

  /// Sends the node more datagrams than its socket holds, so that all later ones are lost.
  void fill_datagram_buffer() {
    constexpr int kDatagrams = 2000;
    const Address address = *Address::parse(GatewayNode::settings(kOutOfStep).datagram_address);
    boost::asio::ip::udp::socket socket(loop, boost::asio::ip::udp::v4());
    const boost::asio::ip::udp::endpoint target(boost::asio::ip::make_address(address.host),
                                                address.port);
    const std::string noise(1000, '\0');
    for (int sent = 0; sent < kDatagrams; ++sent) {
      socket.send_to(boost::asio::buffer(noise), target);
    }
  }

  void poll_once() override {
    Fleet::poll_once();
    copy.tick();
    if (!stands_still) {
      own_loop.run_for(std::chrono::milliseconds(1));
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(resumed_streams, Fixture)

BOOST_AUTO_TEST_CASE(a_stream_resumed_within_an_answer_keeps_its_software_version) {
  std::vector<ReceivedStream> streams(kStreams);
  for (ReceivedStream& stream : streams) {
    attempt(stream, 1, "/here/1", kBreaks);
  }
  BOOST_TEST(mixed(streams) == 0);
  BOOST_TEST(complete(streams) == kStreams);
}

BOOST_AUTO_TEST_CASE(a_stream_that_a_caller_resumes_at_another_node_keeps_its_software_version) {
  std::vector<ReceivedStream> streams(kStreams);
  for (ReceivedStream& stream : streams) {
    attempt(stream, 1, "/caller/1", kBreaks);
    BOOST_REQUIRE(stream.last_event == kBreakAfter);
    attempt(stream, 2, "/caller/1", kBreaks);
  }
  BOOST_TEST(mixed(streams) == 0);
  BOOST_TEST(complete(streams) == kStreams);
}

BOOST_AUTO_TEST_CASE(a_stream_resumed_after_its_node_was_killed_keeps_its_software_version) {
  std::vector<ReceivedStream> streams(kStreams);
  std::vector<std::shared_ptr<std::optional<net::SimpleCall::Outcome>>> results;
  for (ReceivedStream& stream : streams) {
    results.push_back(start_attempt(stream, 3, "/caller/1", kStalls));
  }
  wait_for([&] { return stalled.size() == kStreams; });
  run_for(std::chrono::milliseconds(100));
  nodes.erase(3);
  for (int index = 0; index < kStreams; ++index) {
    ReceivedStream& stream = streams[static_cast<std::size_t>(index)];
    const auto& result = results[static_cast<std::size_t>(index)];
    wait_for([&] { return result->has_value(); });
    stream.take((*result)->body);
    BOOST_REQUIRE(stream.last_event == kBreakAfter);
    attempt(stream, 1 + index % 2, "/caller/1", kStalls);
  }
  BOOST_TEST(mixed(streams) == 0);
  BOOST_TEST(complete(streams) == kStreams);
}

// It hears no other node, and its view of the replicas lacks the version that joined meanwhile.
BOOST_FIXTURE_TEST_CASE(a_node_that_was_out_of_step_resumes_no_stream_at_an_older_version,
                        OutOfStepFixture) {
  fall_out_of_step();
  add_replicas("v2", kReplicasPerVersion);
  run_for(std::chrono::milliseconds(500));
  std::vector<ReceivedStream> streams(kStreams);
  for (ReceivedStream& stream : streams) {
    attempt(stream, 2, "/caller/1", kBreaks);
    BOOST_REQUIRE(stream.last_event == kBreakAfter);
  }
  nodes.clear();
  std::vector<std::shared_ptr<std::optional<net::SimpleCall::Outcome>>> results;
  for (ReceivedStream& stream : streams) {
    results.push_back(start_attempt(stream, kOutOfStep, "/caller/1", kBreaks));
  }
  run_for(std::chrono::milliseconds(500));
  stands_still = false;
  for (int index = 0; index < kStreams; ++index) {
    const auto& result = results[static_cast<std::size_t>(index)];
    wait_for([&] { return result->has_value(); });
    BOOST_TEST((*result)->head.status == 503);
    streams[static_cast<std::size_t>(index)].take((*result)->body);
  }
  BOOST_TEST(mixed(streams) == 0);
}

// No other node is left that knows where the streams began.
BOOST_FIXTURE_TEST_CASE(a_stream_of_the_only_version_goes_on_once_the_log_has_confirmed_it,
                        OutOfStepFixture) {
  std::vector<ReceivedStream> streams(kStreams);
  for (ReceivedStream& stream : streams) {
    attempt(stream, 2, "/caller/1", kBreaks);
    BOOST_REQUIRE(stream.last_event == kBreakAfter);
  }
  nodes.clear();
  for (ReceivedStream& stream : streams) {
    attempt(stream, kOutOfStep, "/caller/1", kBreaks);
  }
  BOOST_TEST(mixed(streams) == 0);
  BOOST_TEST(complete(streams) == kStreams);
}

BOOST_AUTO_TEST_CASE(an_interrupted_item_keeps_its_software_version) {
  const std::vector<std::string> jobs = submit_jobs(4, 6, kBreaksInBase64);
  BOOST_TEST(spoiled(wait_for_texts(jobs, 6)) == 0);
}

BOOST_AUTO_TEST_CASE(an_item_that_another_node_takes_over_keeps_its_software_version) {
  const std::vector<std::string> jobs = submit_jobs(6, 4, kStallsInBase64);
  wait_for([&] { return stalled.size() == 24U; });
  run_for(nodes[1]->knobs.checkpoint_interval + std::chrono::milliseconds(500));
  nodes.erase(3);
  BOOST_TEST(spoiled(wait_for_texts(jobs, 4)) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
