/// The users' platform for the soak, as one process: the store, some replicas, and an address where
/// the soak makes the store fail and asks what the replicas have run.
///
/// Usage: dockpoint-platform-stand-in STORE_PORT CONTROL_PORT REPLICAS FIRST_REPLICA_PORT

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "dockpoint/core/hash.hpp"
#include "platform/replica_records.hpp"
#include "platform/stand_in_store.hpp"
#include "platform/stand_ins.hpp"
#include "platform/wire_names.hpp"

namespace dockpoint::test {
namespace {

constexpr int kPartitions = 4;
constexpr int kEvents = 8;
constexpr Duration kEventInterval = std::chrono::milliseconds(30);
constexpr Duration kTick = std::chrono::milliseconds(5);
constexpr int kUnprocessable = 422;

/// A request below this path crashes the replica that runs it. The soak makes the crash: it asks
/// who runs one, and ends the replica's connections and address.
/// Part of a prompt that crashes the replica that runs a request with it.
constexpr const char* kCrashingPart = "dead0";
constexpr const char* kCrashingPath = "/quick/crash/";

/// One stream in so many breaks after a few of its events.
constexpr std::uint64_t kBreakStreamEvery = 6;
/// One in this many runs of an item breaks midway.
constexpr std::uint64_t kBreakItemEvery = 12;
/// One in this many answers has neither a length nor chunks.
constexpr std::uint64_t kUnframedEvery = 3;
constexpr int kBreakStreamAfter = 3;

/// One short request in so many is run, and its connection ends without an answer.
constexpr std::uint64_t kCutEvery = 25;

/// Limits of the tenants, in requests a second, as the soak asks for them; 0: none.
struct TenantLimits {
  double hot = 20;
  double steady = 40;
  /// Of the hot tenant; the steady one has the other of 0 and 1.
  int hot_priority = 1;
};

/// @return the entry of a tenant whose burst is what its rate gives in a second.
std::string tenant(const std::string& name, int priority, double rate) {
  return R"({"name":")" + name + R"(","priority":)" + std::to_string(priority) +
         R"(,"apiKeys":["key-of-)" + name + R"("],"ratePerS":)" + std::to_string(rate) +
         R"(,"burst":)" + std::to_string(rate) + "}";
}

/// @return the member of the configuration that lists the tenants; `plain` has no limit.
std::string tenants(const TenantLimits& limits) {
  return R"(,"tenants":[{"name":"plain","priority":0,"apiKeys":["key-of-plain"]},)" +
         tenant("hot", limits.hot_priority, limits.hot) + "," +
         tenant("steady", 1 - limits.hot_priority, limits.steady) + "]";
}

/// A configuration in two parts; version and tenants stand before the first, further routes between
/// them.
const char* const kRoutesStart = R"(,"routeList":[
 {"name":"quick","host":"soak.example","pathPrefix":"/quick/","type":"idempotent","timeoutMs":3000,
  "targetMs":300,"priority":0,"service":"lm","attempts":3},
 {"name":"once","host":"soak.example","pathPrefix":"/once/","type":"non_idempotent",
  "timeoutMs":3000,"targetMs":300,"priority":0,"service":"lm","attempts":1},
 {"name":"stream","host":"soak.example","pathPrefix":"/stream/","type":"streaming",
  "timeoutMs":3000,"targetMs":300,"gapTargetMs":500,"priority":0,"service":"lm","attempts":2,
  "resumable":true},
 {"name":"talk","host":"soak.example","pathPrefix":"/talk/","type":"streaming",
  "timeoutMs":3000,"targetMs":300,"gapTargetMs":500,"priority":0,"service":"lm","attempts":1},
 {"name":"batch","host":"soak.example","pathPrefix":"/batch/","type":"batch","timeoutMs":20000,
  "targetMs":400,"completionTargetMs":20000,"retentionS":300,"priority":2,"service":"lm",
  "attempts":3})";
const char* const kRoutesEnd = R"(],
 "services":[{"name":"lm","healthPath":"/healthz","maxConns":200,"engine":{"slots":8,
  "kvCacheTokens":100000}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,
  "headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

/// @return a configuration with a route `/added-VERSION/`.
std::string configuration(int version, const TenantLimits& limits) {
  const std::string name = "added-" + std::to_string(version);
  return "{\"version\":" + std::to_string(version) + tenants(limits) + kRoutesStart +
         R"(,{"name":")" + name + R"(","host":"soak.example","pathPrefix":"/)" + name +
         R"(/","type":"idempotent","timeoutMs":3000,"targetMs":300,"priority":0,"service":"lm",)" +
         R"("attempts":3})" + kRoutesEnd;
}

/// What all replicas have run, by the id that a request came with.
struct RunRecord {
  std::map<std::string, int> runs;
  std::map<std::string, std::string> tenants;  ///< As the replica was told.
  int keys_seen = 0;                           ///< Requests that still had their caller's key.
  /// Unix milliseconds at which a request that crashes replicas reached one, by its target.
  std::map<std::string, std::vector<std::int64_t>> crashing;
};

/// One replica: answers short requests after `service_time`, and streams the events of streams and
/// batch items, which name its software version. It resumes whatever it is asked to resume. A crash
/// ends one life of it; the next one has another id, and may have another version.
class SoakReplica {
 public:
  SoakReplica(boost::asio::io_context& loop, int number, std::uint16_t port, RunRecord& record,
              const Duration& service_time)
      : name_("replica-" + std::to_string(number)),
        id_(name_),
        loop_(loop),
        record_(record),
        service_time_(service_time),
        replica_(loop, name_, port, [this](const net::ExchangePtr& exchange) { serve(exchange); }) {
  }

  const std::string& id() const { return id_; }
  /// @return requests that have reached it.
  int arrivals() const { return arrivals_; }
  /// @return target of the request that crashes it; empty if it runs none.
  const std::string& crashing_target() const { return crashing_target_; }
  const std::string& version() const { return version_; }
  /// It starts again after a crash. @param version of its software; empty: as before.
  void begin_life(const std::string& version) {
    id_ = name_ + "-" + std::to_string(++lives_);
    replica_.rename(id_);
    version_ = version.empty() ? version_ : version;
    crashing_target_.clear();
  }

 private:
  void serve(const net::ExchangePtr& exchange) {
    const net::RequestHead& request = exchange->request();
    ++arrivals_;
    if (request.headers.get("Target-Instance") != id_) {
      net::Headers headers = genuine_headers(exchange);
      headers.add("Not-Executed", "1");
      exchange->respond(421, headers, {});
      return;
    }
    note_run(request);
    const bool crashing_part =
        request.headers.get("Prompt-Prefix").find(kCrashingPart) != std::string_view::npos;
    if (crashing_part || request.target.starts_with(kCrashingPath)) {
      crashing_target_ = crashing_part ? kCrashingPart : request.target;
      record_.crashing[crashing_target_].push_back(net::unix_now_ms());
      return;
    }
    if (request.target.starts_with("/stream/") || request.target.starts_with("/talk/")) {
      stream(exchange, random_() % kBreakStreamEvery == 0);
      return;
    }
    if (!request.target.starts_with("/batch/")) {
      if (random_() % kCutEvery == 0) {
        exchange->abort();
        return;
      }
      after(service_time_, [exchange, framing = next_framing()] {
        const std::string body = "done " + exchange->request().target;
        if (framing == net::BodyFraming::kChunks) {
          exchange->respond(200, genuine_headers(exchange), body);
          return;
        }
        exchange->begin({200, {}, genuine_headers(exchange)}, framing);
        exchange->write(body);
        exchange->end();
      });
      return;
    }
    if (request.target.starts_with("/batch/never")) {
      exchange->respond(kUnprocessable, genuine_headers(exchange), {});
      return;
    }
    stream(exchange, framing_random_() % kBreakItemEvery == 0);
  }

  /// Streams the events that the request lacks. @param breaks whether the stream breaks midway.
  void stream(const net::ExchangePtr& exchange, bool breaks) {
    const std::string last(exchange->request().headers.get("Last-Event-Id"));
    const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
    const net::BodyFraming framing = next_framing();
    exchange->begin({200, {}, genuine_headers(exchange)}, framing);
    const RunOfStream run{breaks ? first + kBreakStreamAfter : kEvents + 1, version_, framing};
    send_event(exchange, first, run);
  }

  /// @return whether the next answer states its length, by its own random numbers.
  net::BodyFraming next_framing() {
    return framing_random_() % kUnframedEvery == 0 ? net::BodyFraming::kUntilClose
                                                   : net::BodyFraming::kChunks;
  }

  void note_run(const net::RequestHead& request) {
    const std::string id(request.headers.get("Attempt-Id"));
    ++record_.runs[id];
    record_.tenants[id] = request.headers.get("Tenant");
    if (!request.headers.get("Api-Key").empty()) {
      ++record_.keys_seen;
    }
  }

  /// Calls `action` after a time, or at once if there is none.
  void after(Duration time, std::function<void()> action) {
    if (time == Duration{}) {
      action();
      return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(loop_, time);
    timer->async_wait([action = std::move(action), timer](const boost::system::error_code& error) {
      if (!error) {
        action();
      }
    });
  }

  /// A run of a stream, to its end or to where it breaks.
  struct RunOfStream {
    int breaks_at = 0;    ///< Event in which the stream breaks.
    std::string version;  ///< Of the software that the run began with.
    net::BodyFraming framing = net::BodyFraming::kChunks;
  };

  void send_event(const net::ExchangePtr& exchange, int number, const RunOfStream& run) {
    if (number > kEvents) {
      exchange->end();
      return;
    }
    const std::string event = "id: " + std::to_string(number) +
                              "\ndata: " + exchange->request().target + " " +
                              std::to_string(number) + " " + run.version + "\n\n";
    if (number >= run.breaks_at) {
      break_off(exchange, event, run.framing);
      return;
    }
    exchange->write(event);
    after(kEventInterval, [this, exchange, number, run] { send_event(exchange, number + 1, run); });
  }

  /// Breaks a stream off within an event. Without chunks the connection is closed in good order.
  static void break_off(const net::ExchangePtr& exchange, const std::string& event,
                        net::BodyFraming framing) {
    if (framing == net::BodyFraming::kChunks) {
      exchange->abort();
      return;
    }
    exchange->write(event.substr(0, event.size() / 2));
    exchange->end();
  }

  const std::string name_;
  std::string id_;
  int lives_ = 0;
  std::string version_ = "v1";
  std::string crashing_target_;
  std::mt19937_64 random_{hash64(name_)};
  std::mt19937_64 framing_random_{hash64(name_ + "/framing")};
  boost::asio::io_context& loop_;
  RunRecord& record_;
  const Duration& service_time_;
  int arrivals_ = 0;
  StandInReplica replica_;
};

/// Store, replicas and control address together.
class StandInPlatform {
 public:
  StandInPlatform(boost::asio::io_context& loop, std::uint16_t store_port,
                  std::uint16_t control_port, int replicas, std::uint16_t first_replica_port,
                  std::uint16_t first_published_port)
      : store_(loop, store_port, kPartitions),
        first_published_port_(first_published_port),
        control_(loop, [this](const net::ExchangePtr& exchange) { serve_control(exchange); }),
        timer_(loop) {
    store_.put(platform::kConfigurationTopic, platform::kConfigurationKey, configuration(1, {}));
    for (int number = 0; number < replicas; ++number) {
      const auto port = static_cast<std::uint16_t>(first_replica_port + number);
      replicas_.push_back(
          std::make_unique<SoakReplica>(loop, number, port, record_, service_time_));
      publish(number, "ready");
    }
    control_.listen("127.0.0.1:" + std::to_string(control_port));
    tick();
  }

 private:
  void tick() {
    store_.tick();
    // Replicas go on registering until the store has taken it.
    while (!unpublished_.empty() && store_.log.faults.calm()) {
      store_.put(platform::kReplicasTopic, unpublished_.front().first, unpublished_.front().second);
      unpublished_.pop_front();
    }
    timer_.expires_after(kTick);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        tick();
      }
    });
  }

  /// A replica that crashed starts again, and its former record goes.
  void begin_life(int number, const std::string& version) {
    SoakReplica& replica = *replicas_.at(static_cast<std::size_t>(number));
    unpublished_.emplace_back(replica.id(), std::string{});
    replica.begin_life(version);
    publish(number, states_[number]);
  }

  nlohmann::json crashing() const {
    nlohmann::json list = nlohmann::json::array();
    for (std::size_t number = 0; number < replicas_.size(); ++number) {
      const std::string& target = replicas_[number]->crashing_target();
      if (!target.empty()) {
        list.push_back({{"number", number}, {"target", target}});
      }
    }
    return list;
  }

  /// Writes a replica's record. Nodes are told of the proxy before the replica.
  void publish(int number, const std::string& state) {
    states_[number] = state;
    constexpr int kSlots = 8;
    nlohmann::json record = test::replica_record(
        "127.0.0.1:" + std::to_string(first_published_port_ + number), kSlots, state);
    const SoakReplica& replica = *replicas_.at(static_cast<std::size_t>(number));
    record["version"] = replica.version();
    record["sequence"] = ++sequence_;
    unpublished_.emplace_back(replica.id(), record.dump());
  }

  nlohmann::json arrivals() const {
    nlohmann::json counts = nlohmann::json::array();
    for (const auto& replica : replicas_) {
      counts.push_back(replica->arrivals());
    }
    return counts;
  }

  nlohmann::json runs() const {
    return {{"runs", record_.runs},
            {"tenants", record_.tenants},
            {"keys_seen", record_.keys_seen},
            {"crashing", record_.crashing}};
  }

  void serve_control(const net::ExchangePtr& exchange) {
    const net::Target target = net::Target::parse(exchange->request().target);
    const auto number = [&](const char* name) {
      return std::atof(target.parameter(name).value_or("0").c_str());
    };
    if (target.path == "/faults") {
      MemoryLogFaults& faults = store_.log.faults;
      faults.down = number("down") > 0;
      faults.silent = number("silent") > 0;
      faults.lose_answers = number("lose");
      faults.delay_appends = number("delay");
    } else if (target.path == "/forget") {
      store_.log.forget_history();
    } else if (target.path == "/rebalance") {
      store_.log.rebalance();
    } else if (target.path == "/configuration") {
      store_.put(platform::kConfigurationTopic, platform::kConfigurationKey,
                 configuration(
                     static_cast<int>(number("version")),
                     {number("hot"), number("steady"), static_cast<int>(number("hot_priority"))}));
    } else if (target.path == "/service-time") {
      service_time_ = std::chrono::milliseconds(static_cast<int>(number("ms")));
    } else if (target.path == "/replica") {
      publish(static_cast<int>(number("number")), target.parameter("state").value_or("ready"));
    }
    if (target.path == "/life") {
      begin_life(static_cast<int>(number("number")), target.parameter("version").value_or(""));
    }
    const nlohmann::json answer = target.path == "/arrivals"   ? arrivals()
                                  : target.path == "/crashing" ? crashing()
                                                               : runs();
    exchange->respond(200, {{"Content-Type", "application/json"}}, answer.dump());
  }

  StandInStore store_;
  const std::uint16_t first_published_port_;
  int sequence_ = 0;
  std::map<int, std::string> states_;                            ///< As the replicas' records say.
  std::deque<std::pair<std::string, std::string>> unpublished_;  ///< Ids and records of replicas.
  net::HttpServer control_;
  boost::asio::steady_timer timer_;
  Duration service_time_{};  ///< Of short requests at every replica.
  RunRecord record_;
  std::vector<std::unique_ptr<SoakReplica>> replicas_;
};

}  // namespace
}  // namespace dockpoint::test

int main(int argc, char** argv) {
  constexpr int kArguments = 6;
  if (argc != kArguments) {
    std::cerr << "usage: " << argv[0]
              << " STORE_PORT CONTROL_PORT REPLICAS FIRST_REPLICA_PORT "
                 "FIRST_PUBLISHED_PORT\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context loop(1);
  const auto port = [&](int index) { return static_cast<std::uint16_t>(std::atoi(argv[index])); };
  const dockpoint::test::StandInPlatform platform(loop, port(1), port(2), std::atoi(argv[3]),
                                                  port(4), port(5));
  loop.run();
  return 0;
}
