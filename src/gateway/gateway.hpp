#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "dockpoint/admission/stop_admission.hpp"
#include "dockpoint/core/life.hpp"
#include "dockpoint/core/suspension_detector.hpp"
#include "dockpoint/log/hedged_log.hpp"
#include "dockpoint/log/read_barrier.hpp"
#include "dockpoint/membership/stream_origins.hpp"
#include "gateway/address_resolver.hpp"
#include "gateway/batch_service.hpp"
#include "gateway/bounded_log.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/fleet_watch.hpp"
#include "gateway/gateway_settings.hpp"
#include "gateway/http_record_transport.hpp"
#include "gateway/online_proxy.hpp"
#include "gateway/peer_link.hpp"
#include "gateway/record_server.hpp"
#include "gateway/relayed_log.hpp"
#include "gateway/version_log.hpp"

/// A dockpoint node: routes online requests and batch items to the replicas of a fleet.
///
/// Everything runs on one event loop: a node has half a core, so a second thread would only add
/// context switches. The node keeps no durable state: it reads routes, replicas and batch jobs from
/// the log when it starts, and receives membership and load from the other nodes.
///
/// Shutdown: the node reports itself as not ready at once and leaves the membership, which removes
/// it from its peers' resolver answers. It lets running batch items finish and releases its
/// partitions. It keeps serving callers that have cached its address, asking them in every response
/// to close the connection, refuses what might not end in time (admission/stop_admission.hpp), and
/// exits when they have gone or when the grace period is over.
namespace dockpoint {

/// External dependencies of a gateway. References and pointers are not owned and must outlive it.
struct GatewayParts {
  PartitionedLog& log;
  const TrafficProtocol& traffic;
  const ResolverProtocol& resolver;
  const FleetReader& fleet_reader;
  FleetTopics fleet_topics;
  BatchTopics batch_topics;
  std::string quarantine_topic;  ///< Topic of requests that crash replicas.
  std::string versions_topic;    ///< Topic of the software versions that serve.
  BoundedLog* process_log;       ///< Drained several times a second; may be null.
};

/// A dockpoint node; see the top of this file.
class Gateway {
 public:
  Gateway(boost::asio::io_context& loop, net::HttpClient& client, const Knobs& knobs,
          GatewaySettings settings, const GatewayParts& parts);
  ~Gateway();

  /// Binds all addresses and starts serving.
  /// @throws boost::system::system_error if an address cannot be bound.
  void start();
  /// Starts the shutdown; the gateway stops the event loop when it is complete.
  void stop();
  /// Applies the settings that can change while the node runs: only the seeds.
  void reload(const GatewaySettings& settings);

  GatewayMetrics& metrics() { return metrics_; }

 private:
  void schedule_tick();
  void tick();
  void tick_stop(TimePoint now);
  /// Ends all requests under way before the process exits. @param since_stop for the log.
  void send_final_answers(Duration since_stop);
  /// Detects that the machine was suspended. The node's state may be stale then, so it is marked as
  /// unconfirmed.
  void detect_suspension(TimePoint now);
  void apply_configuration();
  /// Bounds requests at all ports by the limits of the configuration.
  void apply_ingress_limits(const IngressLimits& limits);
  /// Counts a client's connection that is closed because of the limits on all, and logs the last
  /// one at an interval.
  void report_eviction(net::EvictionReason reason, ClientState state, std::uint64_t held_bytes);
  /// Passes the current members and the size of the fleet to the components that depend on them.
  void update_fleet_size(TimePoint now);
  /// Runs outlier detection on replica failures and logs every ejection and reinstatement.
  void refresh_outliers(TimePoint now);
  /// Divides the replica slots among the nodes that are currently heard from.
  void assign_slots(TimePoint now);
  /// Updates the pace classes of the replicas and logs the changes.
  void refresh_pace_classes(TimePoint now);
  /// Updates the metric of the software versions of the replicas.
  void refresh_software_metric();
  /// Makes a batch item on a full replica yield its slot to an online request that was sent there.
  /// The item is run by this node or by a peer, which is then sent the request.
  void request_slot(const Replica& replica);
  /// @return whether this node writes and removes the record of a version.
  bool keeps_version_record(const ServedVersion& version) const;
  /// Notes the software versions that serve. After a replacement of the view the log tells which
  /// versions came and went unseen.
  void observe_versions(TimePoint now);
  /// Has the log confirm that this node knows all replicas, as of a moment.
  void request_version_confirmation(TimePoint as_of);
  /// The log has confirmed that this node knows all replicas, as of a moment.
  void confirm_versions(TimePoint as_of);
  /// Handles a peer's request to yield a batch item's slot.
  void handle_slot_request(const SlotRequest& request);
  void report_malformed_answer(const net::Endpoint& server, net::HeadFault fault);
  void serve_frontend(const net::ExchangePtr& exchange);
  /// Refuses a call on a batch job that might not be answered before this node exits.
  /// @param limit maximum time that the call takes.
  /// @return whether it was refused.
  bool refuse_while_stopping(const net::ExchangePtr& exchange, Duration limit);
  /// Authenticates the caller. Responds with an error if it is not admitted; otherwise replaces the
  /// API key in the request by the tenant's name.
  /// @param key_required whether a request without a key is refused.
  /// @param tenant set to the caller's tenant, or null if it has none.
  /// @return whether the caller is admitted.
  bool admit_caller(const net::ExchangePtr& exchange, const RoutingConfiguration& configuration,
                    bool key_required, const Tenant*& tenant);
  ConfigurationFreshness configuration_freshness(TimePoint now) const;
  /// Responds to a request that matches no route of the configuration in force.
  void refuse_without_route(const net::ExchangePtr& exchange, std::string_view path);
  void serve_readiness(const net::ExchangePtr& exchange);
  void serve_resolver(const net::ExchangePtr& exchange);
  void serve_control(const net::ExchangePtr& exchange);
  /// Accepts a batch job forwarded by a node that could not append it to the log.
  void serve_forwarded_job(const net::ExchangePtr& exchange);
  void serve_metrics(const net::ExchangePtr& exchange);
  /// Sets the log positions and configuration version that the next digest announces to other
  /// nodes.
  void announce_fleet_position();
  /// Queries a peer for its fleet state if a query is due.
  void catch_up(TimePoint now);
  void query_peer(const std::string& control_address);
  /// @return control addresses of nodes that may have the fleet state; the seeds if no peer is
  /// known.
  /// @param own_zone only peers in this node's zone, without the seeds.
  std::vector<std::string> peers_to_query(bool own_zone) const;
  std::vector<std::string> seed_datagram_addresses() const;

  boost::asio::io_context& loop_;
  const Knobs& knobs_;
  GatewaySettings settings_;
  const GatewayParts parts_;
  const std::uint64_t run_id_;
  const FreshnessBudget freshness_;
  GatewayMetrics metrics_;
  ReplicaDirectory replicas_;
  ColdReplicaLimiter cold_limiter_;
  SoftwareVersions software_versions_;
  SlotShares slot_shares_;
  ReplicaSelector selector_;
  TenantRateLimiter rate_limiter_;
  GatewayContext context_;
  OnlineProxy online_;
  HedgedLog log_;
  HttpRecordTransport record_transport_;
  RelayedLog relayed_log_;
  RecordServer record_server_;
  FleetWatch fleet_;
  CatchUp catch_up_;
  PeerLink peers_;
  VersionLog version_log_;
  StreamOrigins stream_origins_;
  ReadBarrier replica_barrier_;
  CrashWatch crash_watch_;
  BatchService batch_;
  AddressResolver address_resolver_;
  net::ClientPool clients_;  ///< Of all servers below.
  net::HttpServer frontend_;
  net::HttpServer readiness_;
  net::HttpServer resolver_;
  net::HttpServer control_;
  net::HttpServer metrics_server_;
  boost::asio::steady_timer timer_;
  SuspensionDetector suspension_;
  std::vector<std::weak_ptr<net::Exchange>>
      active_state_responses_;           ///< Fleet state responses in progress.
  std::uint64_t members_version_ = 0;    ///< Members version last passed to the components.
  std::uint64_t view_replacements_ = 0;  ///< After which the records of versions were last read.
  TimePoint next_slot_assignment_{};     ///< When slots are next divided among nodes.
  TimePoint stop_requested_at_{};
  TimePoint last_caller_at_{};
  StopAdmission stop_admission_;
  TimePoint eviction_logged_at_{};
  std::uint64_t unlogged_evictions_ = 0;
  bool stopping_ = false;
  bool left_group_ = false;
  bool final_answers_sent_ = false;
  HandlerGuard handlers_;
};

}  // namespace dockpoint
