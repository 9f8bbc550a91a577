#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <type_traits>

#include "dockpoint/node/node_controller.hpp"
#include "simulation/history.hpp"
#include "simulation/sim_network.hpp"

namespace dockpoint::simulation {

class World;
struct EngineListener;

/// An online request as sent by its caller.
struct OnlineSpec {
  std::string name;
  std::string prompt;
  std::string service = "lm";
  std::string tenant = "default";
  int tokens = 16;
  bool repeatable = true;
  std::string key;  ///< Idempotency key; empty if the request has none.
  Duration deadline{60'000'000};
};

/// Callbacks to the caller of an online request.
struct OnlineReply {
  std::function<void()> first_token;
  std::function<void(const std::string& answer)> answered;
  std::function<void(const Error&)> failed;
  std::function<void()> connection_lost;
};

/// Receives the result of a job request: the job id, or an error.
using JobReply = std::function<void(const std::string& id, const std::optional<Error>& error)>;
using ChangeReply = std::function<void(const ChangeOutcome&)>;

/// One node in simulated time: the `NodeController` that `dockpointd` runs, with simulated effects.
/// It also performs the work of the daemon's traffic threads in the same steps, but without
/// threads: forwarding requests to owners, recording attempts and retrying appends.
class SimNode : private NodeActions {
 public:
  struct Options {
    std::string name;
    std::string zone;
    std::string peer_address;
    std::string api_address;
    std::vector<std::string> seeds;
    Knobs knobs;
    double clock_rate = 1.0;  ///< Rate of the node's clock relative to simulated time.
    std::uint64_t seed = 0;
  };

  SimNode(Options options, World& world);

  void start();
  void kill();
  void freeze();
  void wake();
  /// Starts a planned shutdown, as on SIGTERM.
  void drain();

  bool up() const { return up_; }
  bool frozen() const { return frozen_; }
  bool draining() const { return draining_; }
  const Options& options() const { return options_; }
  ProcessLocation location() const { return {options_.name, options_.zone}; }
  const NodeController& controller() const { return *controller_; }

  // Network input. It is deferred while the node is frozen and dropped while it is down.
  void receive(const PeerMessage& message);
  void online(const OnlineSpec& spec, OnlineReply reply);
  void create_job(JobSpec job, int forwards, JobReply reply);
  void cancel_job(const std::string& id, int forwards, JobReply reply);
  void apply(const ConfigurationChange& change, ChangeReply reply);

 private:
  struct OnlineCall {
    OnlineSpec spec;
    OnlineReply reply;
    AttemptTicket ticket;
    int attempts = 0;
    bool first_token = false;
    std::string engine;
    std::string attempt_id;
  };
  using AttemptReply = std::function<void(const std::optional<Error>&)>;

  // Implementation of NodeActions.
  void send(const std::string& address, const PeerMessage& message) override;
  void start_attempt(RequestNumber request, const EngineConfig& engine, int priority) override;
  void refuse(RequestNumber request, const Error& error) override;
  void follow(int partition) override;
  void unfollow(int partition) override;
  void append(int partition, const PartitionRecord& record) override;
  void write_checkpoint(int partition, Offset covers, std::string snapshot) override;
  void append_configuration(const ConfigurationChange& change) override;
  void fetch_configuration(const std::string& api_address) override;
  void poll_load(const std::string& engine, const std::string& address) override;
  void dispatch_item(const ItemDispatch& item) override;
  void cancel_item(int partition, const std::string& job, ItemIndex item) override;

  /// Runs `action` if the node is still in `generation`: at once, or on wake-up if the node is
  /// frozen. Drops it if the node has stopped or restarted since.
  void run(std::uint64_t generation, const std::function<void()>& action);
  /// @return a callback that passes `action` to `run` with the current generation.
  template <class Argument>
  std::function<void(const Argument&)> guard(
      std::type_identity_t<std::function<void(const Argument&)>> action);
  std::function<void()> guarded(std::function<void()> action);

  TimePoint local_now() const;
  UnixSeconds wall_clock() const;
  void tick();
  void poll_machines();
  void read_configuration();
  void load_checkpoint(int partition, std::uint64_t follow_token);
  void read_partition(int partition, std::uint64_t follow_token);
  bool follows(int partition, std::uint64_t follow_token) const;
  void enqueue_append(const std::string& stream, std::string record);
  void write_next(const std::string& stream);
  void observe_configuration();
  void finish_drain();
  void exit(bool drops_connections);

  void submit_online(RequestNumber number);
  void attempt_ended(RequestNumber request, const std::string& attempt_id, AttemptEnd end);
  void send_to_engine(const std::string& engine, const std::string& id, const OnlineCall& call,
                      RequestNumber request);
  void end_item(ItemOutcome outcome, const std::string& request_id);
  void record_attempt(const AttemptTicket& ticket, int forwards, AttemptReply reply);
  void withdraw_attempt(const AttemptTicket& ticket, int forwards);
  /// Forwards a request to the owner of its partition. Calls `failed` if the owner is unknown or
  /// cannot be reached.
  /// @return false if this node is the owner and must handle the request itself.
  bool forward(int partition, int forwards, const std::function<void(SimNode&)>& send,
               const std::function<void(const Error&)>& failed);

  const Options options_;
  World& world_;
  std::unique_ptr<NodeController> controller_;
  std::uint64_t generation_ = 0;
  bool up_ = false;
  bool frozen_ = false;
  bool draining_ = false;
  TimePoint drain_started_{};
  std::deque<std::function<void()>> deferred_;

  std::map<RequestNumber, OnlineCall> calls_;
  RequestNumber next_request_ = 1;
  std::map<int, std::uint64_t> followed_;
  std::uint64_t next_follow_token_ = 1;
  std::map<std::string, std::deque<std::string>> append_queues_;
  std::set<std::string> appending_;
  std::map<std::string, std::string> items_in_flight_;  ///< Engine of each request id.
  std::set<std::string> cancelled_items_;
  std::uint64_t seen_revision_ = 0;
  TimePoint log_answered_{};
  bool log_reachable_ = true;
};

}  // namespace dockpoint::simulation
