#include "gateway/gateway.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include "dockpoint/core/address.hpp"
#include "dockpoint/core/hash.hpp"
#include "dockpoint/membership/witnesses.hpp"
#include "gateway/quarantine_endpoint.hpp"
#include "gateway/retry_after.hpp"
#include "net/clock.hpp"

namespace dockpoint {
namespace {

/// Interval at which timeouts and due calls are checked.
constexpr Duration kTickInterval = std::chrono::milliseconds(50);

/// Maximum time that a call on a batch job takes beyond the wait that its caller asked for.
constexpr Duration kJobCallLimit = std::chrono::seconds(2);

/// Retry-After if this node's configuration may be stale, in seconds: the next query to a peer is
/// answered by then.
constexpr const char* kStaleConfigurationRetryAfter = "0.5";

/// Maximum number of fleet state responses in progress; each may be a megabyte.
constexpr std::size_t kMaxConcurrentStateResponses = 2;

/// A crowd of clients must not displace other log lines.
constexpr Duration kEvictionLogInterval = std::chrono::seconds(1);

/// The clients' buffers hold at least this many of the largest requests that are allowed.
constexpr std::uint64_t kLargestRequests = 16;

std::uint64_t new_run_id() {
  return static_cast<std::uint64_t>(net::unix_now_ms());
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& loop, net::HttpClient& client, const Knobs& knobs,
                 GatewaySettings settings, const GatewayParts& parts)
    : loop_(loop),
      knobs_(knobs),
      settings_(std::move(settings)),
      parts_(parts),
      run_id_(new_run_id()),
      freshness_(knobs.freshness_bound),
      replicas_(knobs),
      cold_limiter_(knobs, settings_.cold_bound, settings_.node),
      software_versions_(knobs),
      slot_shares_(knobs, settings_.node),
      selector_(knobs, replicas_, settings_.zone, combine_hash(hash64(settings_.node), run_id_)),
      rate_limiter_(knobs, settings_.rate_window, static_cast<std::uint32_t>(run_id_)),
      context_{
          loop,           knobs,         parts.traffic, client,
          replicas_,      selector_,     metrics_,      std::make_shared<RoutingConfiguration>(),
          settings_.node, settings_.zone},
      online_(context_, hash64(settings_.node)),
      log_(knobs, parts.log),
      record_transport_(loop, client),
      relayed_log_(
          record_transport_, log_, net::steady_now,
          {parts.fleet_topics.replicas, parts.fleet_topics.configuration}, settings_.node,
          settings_.zone, knobs.freshness_bound,
          [this](const std::vector<ReplicaCount>& counts) { fleet_.take_counts(counts); },
          RelayedLog::Thresholds{}),
      record_server_(
          [this](const TopicPartition& partition) {
            const TimePoint now = net::steady_now();
            return partition == parts_.fleet_topics.replicas ? fleet_.replicas_age(now)
                                                             : fleet_.configuration_age(now);
          },
          [this](std::uint64_t node, const KeyedRecord& record) {
            return fleet_.belongs_to(node, record);
          },
          [this] { return fleet_.replica_counts(); }),
      fleet_(context_, relayed_log_, parts.fleet_reader, parts.fleet_topics, hash64(settings_.node),
             [this] { apply_configuration(); }),
      catch_up_(freshness_, hash64(settings_.node)),
      peers_(
          context_,
          {settings_.datagram_address, settings_.frontend_address, settings_.control_address},
          settings_.zone, run_id_,
          [this](const FleetPosition& position, const std::string& control_address) {
            const TimePoint now = net::steady_now();
            if (position.version > 0) {
              relayed_log_.others_run();
            }
            catch_up_.record_peer_position(position, control_address, now);
            catch_up(now);
          },
          [this](const SlotRequest& request) { handle_slot_request(request); },
          [this](const CrashReport& report, const std::string& address) {
            crash_watch_.take(report, address, net::steady_now());
          },
          [this](const StreamOriginMessage& message, const std::string& address) {
            stream_origins_.take(message, address, net::steady_now());
          },
          [this](const std::string& address) { crash_watch_.send_decisions(address); }),
      version_log_(knobs, log_, parts.versions_topic, combine_hash(hash64(settings_.node), run_id_),
                   software_versions_,
                   [this](const ServedVersion& version) { return keeps_version_record(version); }),
      stream_origins_(
          knobs, software_versions_, settings_.node,
          [this]() -> const std::vector<const Member*>& { return peers_.alive(); },
          [this](const std::string& address, const std::string& bytes) {
            peers_.send_bytes(address, bytes);
          },
          [this](TimePoint as_of) { request_version_confirmation(as_of); }),
      replica_barrier_(
          knobs, log_, parts.fleet_topics.replicas, [this] { return fleet_.replicas_position(); },
          [this](TimePoint as_of) { confirm_versions(as_of); }),
      crash_watch_(
          context_, log_, parts.quarantine_topic, combine_hash(hash64(settings_.node), run_id_),
          [this]() -> const std::vector<const Member*>& { return peers_.alive(); },
          [this](const std::string& address, const std::string& bytes) {
            peers_.send_bytes(address, bytes);
          }),
      batch_(context_, log_, parts.batch_topics, {settings_.control_address, run_id_},
             combine_hash(hash64(settings_.node), run_id_)),
      address_resolver_(parts.resolver, settings_.address_lifetime, hash64(settings_.node)),
      clients_(loop, settings_.client_limits),
      frontend_(
          loop, [this](const auto& exchange) { serve_frontend(exchange); }, clients_),
      readiness_(
          loop, [this](const auto& exchange) { serve_readiness(exchange); }, clients_),
      resolver_(
          loop, [this](const auto& exchange) { serve_resolver(exchange); }, clients_),
      control_(
          loop, [this](const auto& exchange) { serve_control(exchange); }, clients_),
      metrics_server_(
          loop, [this](const auto& exchange) { serve_metrics(exchange); }, clients_),
      timer_(loop) {}

Gateway::~Gateway() = default;

void Gateway::start() {
  const bool has_other_seeds =
      std::any_of(settings_.seeds.begin(), settings_.seeds.end(),
                  [&](const std::string& seed) { return seed != settings_.control_address; });
  rate_limiter_.expect_others(has_other_seeds);
  cold_limiter_.expect_others(has_other_seeds);
  relayed_log_.expect_others(has_other_seeds);
  fleet_.set_record_server(record_server_);
  selector_.limit_cold_replicas(cold_limiter_);
  selector_.use_slot_shares(slot_shares_);
  context_.rate_limiter = &rate_limiter_;
  context_.crash_watch = &crash_watch_;
  context_.stop_admission = &stop_admission_;
  context_.stream_origins = &stream_origins_;
  context_.announce_load = [this] { peers_.announce_load(); };
  context_.peers_reaching_log = [this] { return peers_.control_addresses_reaching_log(); };
  context_.configuration_age = [this] { return fleet_.configuration_age(net::steady_now()).age; };
  context_.replica_records_age = [this] { return fleet_.replicas_age(net::steady_now()).age; };
  context_.request_slot = [this](const Replica& replica) { request_slot(replica); };
  clients_.on_eviction(
      [this](net::EvictionReason reason, ClientState state, std::uint64_t held_bytes) {
        report_eviction(reason, state, held_bytes);
      });
  context_.client.on_malformed(
      handlers_.wrap([this](const net::Endpoint& server, net::HeadFault fault) {
        report_malformed_answer(server, fault);
      }));
  peers_.open();
  peers_.set_candidates(seed_datagram_addresses());
  frontend_.listen(settings_.frontend_address);
  readiness_.listen(settings_.readiness_address);
  resolver_.listen(settings_.resolver_address);
  control_.listen(settings_.control_address);
  if (!settings_.metrics_address.empty()) {
    metrics_server_.listen(settings_.metrics_address);
  }
  spdlog::info("gateway: started node={} zone={} run={} seeds={}", settings_.node, settings_.zone,
               run_id_, settings_.seeds.size());
  crash_watch_.catch_up(net::steady_now());
  version_log_.load();
  tick();
}

std::vector<std::string> Gateway::seed_datagram_addresses() const {
  // All nodes use the same ports, so a seed's datagram address is its host with the own port.
  const std::optional<Address> own = Address::parse(settings_.datagram_address);
  std::vector<std::string> addresses;
  for (const std::string& seed : settings_.seeds) {
    const std::optional<Address> parsed = Address::parse(seed);
    if (parsed && own) {
      addresses.push_back(Address{parsed->host, own->port}.to_string());
    }
  }
  return addresses;
}

void Gateway::reload(const GatewaySettings& settings) {
  settings_.seeds = settings.seeds;
  peers_.set_candidates(seed_datagram_addresses());
  spdlog::info("gateway: settings reloaded seeds={}", settings_.seeds.size());
}

void Gateway::schedule_tick() {
  timer_.expires_after(kTickInterval);
  timer_.async_wait(handlers_.wrap([this](const boost::system::error_code& error) {
    if (!error) {
      tick();
    }
  }));
}

void Gateway::detect_suspension(TimePoint now) {
  const std::optional<Duration> suspended = suspension_.check(now, net::running_now());
  if (suspended) {
    spdlog::warn("gateway: the machine was suspended forMs={} version={} online={} leaseValid={}",
                 to_ms(*suspended), context_.configuration->version, online_.in_flight(),
                 batch_.lease_valid(now));
    metrics_.count_suspension();
    fleet_.mark_unconfirmed();
    crash_watch_.catch_up(now);
    version_log_.load();
  }
}

void Gateway::tick() {
  const TimePoint now = net::steady_now();
  detect_suspension(now);
  log_.tick(now);
  update_fleet_size(now);
  fleet_.tick(now, peers_.peers_reaching_log());
  record_server_.tick(now);
  metrics_.set_fleet_age(fleet_.configuration_age(now).age, fleet_.replicas_age(now).age);
  announce_fleet_position();
  metrics_.set_clients(clients_.budget().connections(), clients_.budget().bytes());
  peers_.set_pending_items(batch_.pending_items());
  peers_.set_log_reachable(batch_.lease_valid(now));
  rate_limiter_.tick(now);
  peers_.tick(now);
  crash_watch_.tick(now);
  observe_versions(now);
  version_log_.tick(fleet_.view_partial(), now);
  replica_barrier_.tick();
  stream_origins_.tick(now);
  refresh_outliers(now);
  batch_.set_peers_reach_log(peers_.some_peer_reaches_log(), now);
  batch_.tick(now);
  online_.tick(now);
  context_.client.tick(now);
  for (net::HttpServer* server :
       {&frontend_, &readiness_, &resolver_, &control_, &metrics_server_}) {
    server->tick(now);
  }
  catch_up(now);
  if (stopping_) {
    tick_stop(now);
  }
  if (parts_.process_log != nullptr) {
    parts_.process_log->drain();
    metrics_.set_log_lines_dropped(parts_.process_log->dropped());
  }
  if (!loop_.stopped()) {
    schedule_tick();
  }
}

void Gateway::update_fleet_size(TimePoint now) {
  if (peers_.members_version() != members_version_) {
    members_version_ = peers_.members_version();
    if (cold_limiter_.limits_any()) {
      cold_limiter_.set_members(peers_.members_not_left());
    }
    relayed_log_.set_members(peers_.alive());
  }
  if (now >= next_slot_assignment_) {
    next_slot_assignment_ = now + knobs_.replica_digest_interval;
    assign_slots(now);
    refresh_pace_classes(now);
    refresh_software_metric();
  }
  if (fleet_.replicas_known()) {
    relayed_log_.set_replicas(fleet_.replicas());
  }
  relayed_log_.tick(now);
  fleet_.set_relaying(relayed_log_.relays(), relayed_log_.passes_on());
  peers_.set_slices(fleet_.slices());
}

void Gateway::assign_slots(TimePoint now) {
  const std::size_t holders = slot_shares_.holders();
  // Read before set_holders(), which clears the assignments if the holders have changed; they are
  // recomputed when a request needs them.
  metrics_.set_own_slots(slot_shares_.own_slots());
  slot_shares_.set_holders(peers_.slot_holders(now));
  const bool shares_enabled = std::max(holders, slot_shares_.holders()) >= knobs_.slot_share_nodes;
  if (shares_enabled && slot_shares_.holders() != holders) {
    spdlog::info("routing: replica slots reassigned among nodes nodes={} before={}",
                 slot_shares_.holders(), holders);
  }
}

void Gateway::refresh_pace_classes(TimePoint now) {
  for (const PaceChange& change : replicas_.paces().update(now)) {
    const Replica* replica = replicas_.find_key(change.replica_key);
    if (replica != nullptr) {
      spdlog::info(
          "fleet: replica pace class changed to {} replica={} service={} factor={:.2f} before={}",
          to_string(change.now), replica->record.id, replica->record.service, change.factor,
          to_string(change.before));
    }
  }
  metrics_.set_pace_classes(replicas_.paces().classes());
}

void Gateway::refresh_software_metric() {
  std::map<std::pair<std::string, std::string>, int> counts;
  for (const auto& [id, replica] : replicas_.all()) {
    ++counts[{replica.record.service, replica.record.software_version}];
  }
  metrics_.set_software_versions(counts);
}

bool Gateway::keeps_version_record(const ServedVersion& version) const {
  const std::uint64_t key = hash64(version.version, hash64(version.service));
  const std::vector<const Member*> keepers = select_witnesses(
      key, peers_.alive(), Capability::kStreamOrigins, knobs_.stream_origin_witnesses);
  return std::any_of(keepers.begin(), keepers.end(),
                     [this](const Member* member) { return member->id == settings_.node; });
}

void Gateway::observe_versions(TimePoint now) {
  software_versions_.observe(replicas_, now);
  stream_origins_.set_view_partial(fleet_.view_partial());
  if (std::exchange(view_replacements_, fleet_.replacements()) != fleet_.replacements()) {
    version_log_.load();
  }
}

void Gateway::request_version_confirmation(TimePoint as_of) {
  // Without any records the read would return all of them.
  if (fleet_.replicas_known()) {
    replica_barrier_.request(as_of, net::steady_now());
  }
}

void Gateway::confirm_versions(TimePoint as_of) {
  const TimePoint now = net::steady_now();
  observe_versions(now);
  software_versions_.confirm(as_of);
  stream_origins_.confirmed(now);
}

void Gateway::request_slot(const Replica& replica) {
  if (batch_.yield_slot(replica.record.id)) {
    return;
  }
  const auto node = replicas_.claim_peer_item(replica.key, net::steady_now());
  if (node) {
    peers_.send_slot_request(*node, {replica.key});
  }
}

void Gateway::handle_slot_request(const SlotRequest& request) {
  if (const Replica* replica = replicas_.find_key(request.replica_key)) {
    batch_.yield_slot(replica->record.id);
  }
}

void Gateway::refresh_outliers(TimePoint now) {
  for (const Replica* replica : replicas_.update_outliers(now)) {
    spdlog::info("fleet: replica {} replica={} service={} failures={:.1f} ownFailures={:.1f}",
                 replica->outlier ? "ejected" : "reinstated", replica->record.id,
                 replica->record.service, replica->failures(now), replica->own_failures.value(now));
  }
}

void Gateway::apply_configuration() {
  apply_ingress_limits(context_.configuration->limits);
  rate_limiter_.set_limits(context_.configuration->tenants);
  std::map<std::string, double> cold_rates;
  for (const auto& [name, service] : context_.configuration->services) {
    cold_rates[name] = service.cold_per_second;
  }
  cold_limiter_.set_rates(std::move(cold_rates));
  members_version_ =
      0;  // Forces an update: the cold limiter may not have received the members yet.
  announce_fleet_position();
}

void Gateway::apply_ingress_limits(const IngressLimits& limits) {
  frontend_.set_limits(
      {limits.header_bytes, limits.body_bytes, limits.header_timeout, limits.idle_timeout});
  net::ServerLimits other_ports;
  other_ports.header_bytes = limits.header_bytes;
  other_ports.body_bytes = limits.body_bytes;
  for (net::HttpServer* server : {&readiness_, &resolver_, &control_, &metrics_server_}) {
    server->set_limits(other_ports);
  }
  const std::uint64_t largest_request = limits.header_bytes + limits.body_bytes;
  clients_.set_buffer_bytes(
      std::max(settings_.client_limits.buffer_bytes, kLargestRequests * largest_request));
}

void Gateway::report_eviction(net::EvictionReason reason, ClientState state,
                              std::uint64_t held_bytes) {
  const char* limit = reason == net::EvictionReason::kBuffers ? "buffers" : "connections";
  metrics_.count_client_evicted(limit);
  ++unlogged_evictions_;
  const TimePoint now = net::steady_now();
  if (now - eviction_logged_at_ < kEvictionLogInterval) {
    return;
  }
  spdlog::warn(
      "clients: connections closed count={} limit={} state={} bytes={} clients={} clientBytes={}",
      unlogged_evictions_, limit, name_of(state), held_bytes, clients_.budget().connections(),
      clients_.budget().bytes());
  eviction_logged_at_ = now;
  unlogged_evictions_ = 0;
}

void Gateway::report_malformed_answer(const net::Endpoint& server, net::HeadFault fault) {
  metrics_.count_malformed_answer(net::to_string(fault));
  spdlog::warn("http: answer is malformed server={} name={} fault={}", server.address.to_string(),
               server.identity, net::to_string(fault));
}

void Gateway::serve_frontend(const net::ExchangePtr& exchange) {
  last_caller_at_ = exchange->received();
  const std::shared_ptr<const RoutingConfiguration> configuration = context_.configuration;
  if (configuration->version == 0) {
    exchange->respond(503, {{"Retry-After", "0.5"}}, {});
    return;
  }
  const net::RequestHead& head = exchange->request();
  const net::Target target = net::Target::parse(head.target);
  const Tenant* tenant = nullptr;
  if (auto call = context_.protocol.read_job_call(head)) {
    if (refuse_while_stopping(exchange, call->wait + kJobCallLimit)) {
      return;
    }
    if (admit_caller(exchange, *configuration, true, tenant)) {
      call->job = tenant_job_id(tenant == nullptr ? std::string{} : tenant->name, call->job);
      batch_.handle(exchange, *call, false);
    }
    return;
  }
  const RouteConfig* route = configuration->match(head.headers.get("Host"), target.path);
  if (route == nullptr) {
    refuse_without_route(exchange, target.path);
  } else if (!admit_caller(exchange, *configuration, route->needs_key, tenant)) {
    return;
  } else if (route->kind == RouteKind::kBatch) {
    if (!refuse_while_stopping(exchange, knobs_.submission_wait)) {
      batch_.submit(exchange, *route, std::nullopt);
    }
  } else {
    online_.handle(exchange, configuration, *route, tenant);
  }
}

bool Gateway::admit_caller(const net::ExchangePtr& exchange,
                           const RoutingConfiguration& configuration, bool key_required,
                           const Tenant*& tenant) {
  net::RequestHead& head = exchange->request();
  const ConfigurationFreshness freshness = configuration_freshness(exchange->received());
  const CallerIdentity caller =
      identify_caller(configuration.tenants, key_required, context_.protocol.read_credential(head),
                      freshness, settings_.revocation);
  switch (caller.verdict) {
    case CallerVerdict::kNoTenant:
    case CallerVerdict::kTenant:
      tenant = caller.tenant;
      context_.protocol.name_tenant(head, tenant == nullptr ? std::string{} : tenant->name);
      return true;
    case CallerVerdict::kMalformed:
      metrics_.count_caller_refused("malformed");
      exchange->respond(400, {}, {});
      return false;
    case CallerVerdict::kUnknownKey:
      metrics_.count_caller_refused("unknown_key");
      spdlog::info("online: unknown API key version={} confirmedMsAgo={}", configuration.version,
                   to_ms(freshness.age));
      exchange->respond(401, {}, {});
      return false;
    case CallerVerdict::kUnsure:
      metrics_.count_caller_refused("unsure");
      spdlog::info(
          "online: API key cannot be verified, configuration may be stale version={} "
          "confirmedMsAgo={}",
          configuration.version, to_ms(freshness.age));
      exchange->respond(503, {{"Retry-After", kStaleConfigurationRetryAfter}}, {});
      return false;
  }
  return false;
}

ConfigurationFreshness Gateway::configuration_freshness(TimePoint now) const {
  const WatchAge age = fleet_.configuration_age(now);
  return {age.state == WatchState::kFollowing, age.age};
}

void Gateway::refuse_without_route(const net::ExchangePtr& exchange, std::string_view path) {
  const WatchAge age = fleet_.configuration_age(exchange->received());
  spdlog::info("online: no route host={} path={} version={} log={} confirmedMsAgo={}",
               exchange->request().headers.get("Host"), path, context_.configuration->version,
               name_of(age.state), to_ms(age.age));
  if (age.state == WatchState::kFollowing) {
    exchange->respond(404, {}, {});
    return;
  }
  // The route may have been added since this node lost contact with the log. Callers treat 404 as
  // final; after 503 they retry on another node, which may have the route.
  exchange->respond(503, {{"Retry-After", kStaleConfigurationRetryAfter}}, {});
}

void Gateway::serve_readiness(const net::ExchangePtr& exchange) {
  const bool ready = !stopping_ && fleet_.has_configuration();
  exchange->respond(ready ? 200 : 503, {}, {});
}

void Gateway::serve_resolver(const net::ExchangePtr& exchange) {
  address_resolver_.serve(exchange, peers_.frontends(), stopping_);
}

void Gateway::serve_forwarded_job(const net::ExchangePtr& exchange) {
  const net::RequestHead& head = exchange->request();
  const std::shared_ptr<const RoutingConfiguration> configuration = context_.configuration;
  const RouteConfig* route =
      configuration->match(head.headers.get("Host"), net::Target::parse(head.target).path);
  if (route == nullptr || route->kind != RouteKind::kBatch) {
    exchange->respond(503, {}, {});  // The nodes have different configurations.
    return;
  }
  const std::string_view text = head.headers.get(kForwardedHeader);
  std::int64_t wait_ms = 0;
  if (std::from_chars(text.data(), text.data() + text.size(), wait_ms).ec != std::errc{}) {
    // The wait is then zero: the forwarding node continues on its own.
    spdlog::warn("batch: forwarded job has no valid time limit header=\"{}\"", text);
  }
  batch_.submit(exchange, *route, std::chrono::milliseconds(wait_ms));
}

void Gateway::serve_control(const net::ExchangePtr& exchange) {
  if (exchange->request().method == "POST" && exchange->request().headers.has(kForwardedHeader)) {
    serve_forwarded_job(exchange);
    return;
  }
  if (auto call = context_.protocol.read_job_call(exchange->request())) {
    // The forwarding node has already set the tenant's name.
    call->job = tenant_job_id(context_.protocol.named_tenant(exchange->request()), call->job);
    batch_.handle(exchange, *call, true);
    return;
  }
  const std::string path = net::Target::parse(exchange->request().target).path;
  if (serve_quarantine(crash_watch_, exchange, path)) {
    return;
  }
  if (path == kRecordsPath) {
    serve_records(record_server_, exchange);
    return;
  }
  if (path == kFleetStatePath) {
    std::erase_if(active_state_responses_, [](const auto& answer) {
      const net::ExchangePtr pending_exchange = answer.lock();
      return !pending_exchange || pending_exchange->pending_output() == 0;
    });
    if (active_state_responses_.size() >= kMaxConcurrentStateResponses) {
      exchange->respond(503, {}, {});  // The querying node tries another peer.
      return;
    }
    FleetState state = fleet_.state();
    state.owners = batch_.owner_addresses();
    leave_out_known(state, asker_knowledge(exchange->request().target));
    exchange->respond(200, {{"Content-Type", "application/msgpack"}}, pack(state));
    active_state_responses_.push_back(exchange);
    return;
  }
  exchange->respond(404, {}, {});
}

void Gateway::serve_metrics(const net::ExchangePtr& exchange) {
  exchange->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.text());
}

void Gateway::announce_fleet_position() {
  const FleetKnowledge known = fleet_.knowledge();
  peers_.set_fleet_position({known.version, known.replicas_position, known.operator_position});
}

void Gateway::catch_up(TimePoint now) {
  const FleetKnowledge known = fleet_.knowledge();
  const LogOffset replicas =
      relayed_log_.direct() ? known.replicas_position : std::numeric_limits<LogOffset>::max();
  catch_up_.set_own_position({known.version, replicas, known.operator_position});
  const auto address = catch_up_.next_peer_to_query(
      now, !fleet_.needs_peer(now), [this](bool own_zone) { return peers_to_query(own_zone); });
  if (address) {
    query_peer(*address);
  }
}

std::vector<std::string> Gateway::peers_to_query(bool own_zone) const {
  std::vector<std::string> addresses =
      own_zone ? peers_.zone_control_addresses() : peers_.control_addresses();
  if (addresses.empty() && !own_zone) {
    addresses = settings_.seeds;
  }
  std::erase(addresses, settings_.control_address);
  return addresses;
}

void Gateway::query_peer(const std::string& control_address) {
  const std::optional<Address> address = Address::parse(control_address);
  if (!address) {
    spdlog::warn("fleet: cannot parse a peer's address address={}", control_address);
    catch_up_.query_finished();
    return;
  }
  FleetKnowledge known = fleet_.knowledge();
  if (!relayed_log_.direct()) {
    // Replica records are relayed in slices; a full state would be megabytes.
    known.replicas_known = true;
    known.replicas_position = std::numeric_limits<LogOffset>::max();
  }
  const net::RequestHead head{"GET", fleet_state_target(known), {{"Host", control_address}}};
  // Always opens a new connection: a pooled one may be dead without notice while new ones work.
  net::CallOptions options;
  options.maximum_idle = Duration{};
  net::SimpleCall::start(
      context_.client, loop_, {*address, "control"}, net::serialize(head), options,
      freshness_.question_limit(),
      handlers_.wrap([this, control_address](const net::SimpleCall::Outcome& outcome) {
        catch_up_.query_finished();
        if (outcome.failure || outcome.head.status != 200) {
          spdlog::info("fleet: query for a peer's state failed peer={} status={} failure={}",
                       control_address, outcome.head.status,
                       outcome.failure ? static_cast<int>(*outcome.failure) : -1);
          return;
        }
        const auto state = unpack<FleetState>(outcome.body);
        if (!state) {
          spdlog::warn("fleet: cannot decode a peer's state peer={} bytes={}", control_address,
                       outcome.body.size());
        } else {
          spdlog::info(
              "fleet: received a peer's state peer={} bytes={} version={} position={} "
              "ownPosition={}",
              control_address, outcome.body.size(), state->version, state->replicas_position,
              fleet_.replicas_position());
          fleet_.take(*state, control_address);
          batch_.suggest_owners(state->owners);
        }
      }));
}

}  // namespace dockpoint
