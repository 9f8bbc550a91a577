#include "gateway/process_check.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <utility>

#include "gateway/replica_probe.hpp"

namespace dockpoint {
namespace {

/// Maximum duration of the health check; the caller of the answer waits meanwhile.
constexpr Duration kHealthCheckTimeout = std::chrono::milliseconds(500);

ProcessState state_of(ProbeResult result) {
  switch (result) {
    case ProbeResult::kListens:
      return ProcessState::kRuns;
    case ProbeResult::kEnded:
      return ProcessState::kEnded;
    case ProbeResult::kUnknown:
      break;
  }
  return ProcessState::kUnknown;
}

ProcessState state_of(ReplicaIdentity identity) {
  switch (identity) {
    case ReplicaIdentity::kConfirmed:
      return ProcessState::kRuns;
    case ReplicaIdentity::kAnother:
      return ProcessState::kEnded;
    case ReplicaIdentity::kNotStated:
      break;
  }
  return ProcessState::kUnknown;
}

/// One check, in up to two steps.
class ProcessCheck : public std::enable_shared_from_this<ProcessCheck> {
 public:
  ProcessCheck(GatewayContext& context, ReplicaProcess process, Duration observation,
               std::weak_ptr<void> owner, std::function<void(ProcessState)> done)
      : context_(context),
        process_(std::move(process)),
        observation_(observation),
        owner_(std::move(owner)),
        done_(std::move(done)),
        timer_(context.loop),
        connections_before_(established()) {}

  void start() {
    if (connections_before_.empty()) {
      ask();
      return;
    }
    timer_.expires_after(observation_);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (!error && !self->owner_.expired()) {
        self->compare_connections();
      }
    });
  }

 private:
  std::set<net::ConnectionNumber> established() const {
    return context_.client.established(process_.endpoint, process_.newest_connection);
  }

  /// A process that ends closes all its connections, so one that is left shows that it runs.
  void compare_connections() {
    const std::set<net::ConnectionNumber> now = established();
    const bool held =
        std::any_of(connections_before_.begin(), connections_before_.end(),
                    [&](net::ConnectionNumber number) { return now.contains(number); });
    if (held) {
      done_(ProcessState::kRuns);
    } else {
      ask();
    }
  }

  void ask() {
    const auto& services = context_.configuration->services;
    const auto service = services.find(process_.service);
    if (service == services.end() || service->second.health_path.empty()) {
      probe_listener();
    } else {
      ask_for_name(service->second.health_path);
    }
  }

  void probe_listener() {
    const ProbeTimes times{context_.knobs.crash_probe_timeout, observation_};
    ReplicaProbe::start(
        context_.loop, process_.endpoint.address, times,
        [self = shared_from_this()](ProbeResult result) { self->finish(state_of(result)); });
  }

  void ask_for_name(const std::string& health_path) {
    // Late answers may still arrive on the connections for requests.
    const net::Endpoint endpoint{process_.endpoint.address, process_.endpoint.identity + "/health"};
    const net::RequestHead request =
        context_.protocol.identity_request(process_.endpoint.address, health_path, process_.name);
    net::SimpleCall::start(context_.client, context_.loop, endpoint, net::serialize(request), {},
                           kHealthCheckTimeout,
                           [self = shared_from_this()](const net::SimpleCall::Outcome& outcome) {
                             self->handle_identity(outcome);
                           });
  }

  void handle_identity(const net::SimpleCall::Outcome& outcome) {
    if (owner_.expired()) {
      return;
    }
    if (outcome.connection_refused) {
      finish(ProcessState::kEnded);
      return;
    }
    // The head suffices, even if the body is not whole.
    const bool answered = outcome.head.status != 0;
    finish(answered ? state_of(context_.protocol.read_identity(outcome.head, process_.name))
                    : ProcessState::kUnknown);
  }

  void finish(ProcessState state) {
    if (!owner_.expired()) {
      done_(state);
    }
  }

  GatewayContext& context_;
  const ReplicaProcess process_;
  const Duration observation_;
  const std::weak_ptr<void> owner_;
  const std::function<void(ProcessState)> done_;
  boost::asio::steady_timer timer_;
  const std::set<net::ConnectionNumber> connections_before_;
};

}  // namespace

const char* to_string(ProcessState state) {
  switch (state) {
    case ProcessState::kRuns:
      return "runs";
    case ProcessState::kEnded:
      return "ended";
    case ProcessState::kUnknown:
      break;
  }
  return "unknown";
}

ReplicaProcess process_of(const ReplicaRecord& replica, const net::HttpClient& client) {
  return {endpoint_of(replica), replica.registered_name(), replica.service,
          client.counts().connections};
}

void check_process(GatewayContext& context, const ReplicaProcess& process, Duration observation,
                   std::weak_ptr<void> owner, std::function<void(ProcessState)> done) {
  std::make_shared<ProcessCheck>(context, process, observation, std::move(owner), std::move(done))
      ->start();
}

}  // namespace dockpoint
