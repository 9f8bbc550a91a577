#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "dockpoint/core/suspension_detector.hpp"
#include "dockpoint/log/hedged_log.hpp"
#include "gateway/batch_service.hpp"
#include "gateway/bounded_log.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/fleet_watch.hpp"
#include "gateway/gateway_settings.hpp"
#include "gateway/online_proxy.hpp"
#include "gateway/peer_link.hpp"
#include "gateway/record_server.hpp"
#include "gateway/relayed_log.hpp"
#include "gateway/resolver_protocol.hpp"

/// One node of dockpoint before a fleet of replicas.
///
/// Everything runs on one event loop: a node has half a core, and a second thread would only add
/// switches between the two. Nothing that must last is kept here: routes, replicas and batch jobs
/// are read from the log when the node starts; membership and load come from the other nodes.
///
/// Stop: the node says at once that it is not ready, leaves the answers of its peers' resolvers,
/// lets batch items end and gives its partitions back. It goes on serving callers that still hold
/// its address, asking them to leave, and ends when they have, or when the grace time is over.
namespace dockpoint {

/// What a gateway needs from its surroundings. Everything is borrowed and must outlive it.
struct GatewayParts {
  PartitionedLog& log;
  const TrafficProtocol& traffic;
  const ResolverProtocol& resolver;
  const FleetReader& fleet_reader;
  FleetTopics fleet_topics;
  BatchTopics batch_topics;
  std::string quarantine_topic;  ///< Of requests that crash replicas.
  BoundedLog* process_log;       ///< Written to its descriptor several times a second; may be null.
};

/// See the top of this file.
class Gateway {
 public:
  Gateway(boost::asio::io_context& loop, net::HttpClient& client, const Knobs& knobs,
          GatewaySettings settings, const GatewayParts& parts);
  ~Gateway();

  /// Opens all addresses and begins to serve.
  /// @throws boost::system::system_error if an address cannot be bound.
  void start();
  /// Begins to stop; the event loop ends by itself.
  void stop();
  /// Takes settings that may change while the node runs: the seeds.
  void reload(const GatewaySettings& settings);

  GatewayMetrics& metrics() { return metrics_; }

 private:
  void schedule_tick();
  void tick();
  void tick_stop(TimePoint now);
  /// Notices that the machine was suspended: what this node knows may be old.
  void note_suspension(TimePoint now);
  void apply_configuration();
  /// Takes what is known of the fleet's members and size to the parts that go by it.
  void follow_fleet_size(TimePoint now);
  /// Finds replicas that fail far more often than others, and logs what has changed.
  void note_outliers(TimePoint now);
  /// Takes the nodes that are heard now to the deal of slots.
  void deal_slots(TimePoint now);
  void note_paces(TimePoint now);
  /// An online request was sent to a replica that is full: a batch item there gives its slot up.
  void request_slot(const Replica& replica);
  void take_slot_request(const SlotRequest& request);
  void serve_frontend(const net::ExchangePtr& exchange);
  /// Decides who the caller is. Refuses one that may not go on; for the others the request names
  /// the tenant from then on in place of the key.
  /// @param tenant set to the caller's tenant, or null.
  /// @return whether the caller may go on.
  bool admit_caller(const net::ExchangePtr& exchange, const RoutingConfiguration& configuration,
                    bool key_needed, const Tenant*& tenant);
  ConfigurationFreshness configuration_confidence(TimePoint now) const;
  /// No route of the configuration in force matches the request.
  void refuse_without_route(const net::ExchangePtr& exchange, std::string_view path);
  void serve_readiness(const net::ExchangePtr& exchange);
  void serve_resolver(const net::ExchangePtr& exchange);
  void serve_control(const net::ExchangePtr& exchange);
  /// Takes a job that another node could not bring into the log.
  void serve_forwarded_job(const net::ExchangePtr& exchange);
  void serve_metrics(const net::ExchangePtr& exchange);
  /// Tells the other nodes, with the next digest, how far this node's knowledge reaches.
  void announce_knowledge();
  /// Asks a peer what it knows of the fleet, if it is time to.
  void catch_up(TimePoint now);
  void ask_peer(const std::string& control_address);
  /// @return control addresses of nodes that may know the fleet.
  std::vector<std::string> peers_to_ask(bool own_zone) const;
  std::vector<std::string> seed_datagram_addresses() const;

  boost::asio::io_context& loop_;
  const Knobs& knobs_;
  GatewaySettings settings_;
  const GatewayParts parts_;
  const std::uint64_t run_;
  const FreshnessBudget freshness_;
  GatewayMetrics metrics_;
  ReplicaDirectory replicas_;
  ColdReplicaLimiter cold_limiter_;
  SlotShares slot_shares_;
  ReplicaSelector selector_;
  TenantRateLimiter rate_limiter_;
  GatewayContext context_;
  OnlineProxy online_;
  HedgedLog log_;
  RelayedLog relayed_log_;
  RecordServer record_server_;
  FleetWatch fleet_;
  CatchUp catch_up_;
  PeerLink peers_;
  CrashWatch crash_watch_;
  BatchService batch_;
  net::HttpServer frontend_;
  net::HttpServer readiness_;
  net::HttpServer resolver_;
  net::HttpServer control_;
  net::HttpServer metrics_server_;
  boost::asio::steady_timer timer_;
  SuspensionDetector suspension_;
  std::vector<std::weak_ptr<net::Exchange>> state_answers_;  ///< Under way.
  std::uint64_t members_version_ = 0;  ///< That the parts that go by members know.
  TimePoint next_deal_{};              ///< When slots are dealt among the nodes heard again.
  TimePoint stop_requested_at_{};
  TimePoint last_caller_at_{};
  bool stopping_ = false;
  bool left_group_ = false;
  std::shared_ptr<bool> alive_ =
      std::make_shared<bool>(true);  ///< For calls that outlive the node.
};

}  // namespace dockpoint
