#include "gateway/fleet_watch.hpp"

#include <fmt/ranges.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "net/clock.hpp"

namespace dockpoint {

/// Follows one topic and forwards its records.
class FleetWatch::Follower : public KeyedWatchObserver {
 public:
  using Snapshot = std::function<void(const std::vector<KeyedRecord>&)>;
  using Record = std::function<void(const KeyedRecord&)>;
  using Reachable = std::function<void(bool)>;

  Follower(const Knobs& knobs, PartitionedLog& log, TopicPartition partition, std::uint64_t seed,
           Snapshot on_snapshot, Record on_record, Reachable on_reachable)
      : name_(partition.topic),
        on_snapshot_(std::move(on_snapshot)),
        on_record_(std::move(on_record)),
        on_reachable_(std::move(on_reachable)),
        watch_(knobs, log, std::move(partition), seed, *this) {}

  void reload() { watch_.reload(); }
  void mark_unconfirmed() { watch_.mark_unconfirmed(); }
  void set_bound(Duration bound) { watch_.set_bound(bound); }
  void tick(TimePoint now, std::size_t peers) {
    watch_.set_peers(peers);
    watch_.tick(now);
  }
  const KeyedWatch& watch() const { return watch_; }

  void on_snapshot(const std::vector<KeyedRecord>& records) override { on_snapshot_(records); }
  void on_record(const KeyedRecord& record) override { on_record_(record); }
  void on_caught_up() override {}
  void on_reachable(bool reachable, Duration silence) override {
    spdlog::warn("fleet: log {} topic={} sinceAnswerMs={} position={}",
                 reachable ? "regained" : "lost", name_, to_ms(silence), watch_.position());
    on_reachable_(reachable);
  }

 private:
  const std::string name_;
  Snapshot on_snapshot_;
  Record on_record_;
  Reachable on_reachable_;
  KeyedWatch watch_;
};

FleetWatch::FleetWatch(GatewayContext& context, PartitionedLog& log, const FleetReader& reader,
                       const FleetTopics& topics, std::uint64_t seed,
                       ConfigurationChanged on_change)
    : context_(context),
      reader_(reader),
      topics_(topics),
      on_change_(std::move(on_change)),
      subset_(context.zone, context.node),
      removal_grace_(context.knobs) {
  configuration_follower_ = std::make_unique<Follower>(
      context_.knobs, log, topics_.configuration, seed,
      [this](const std::vector<KeyedRecord>& records) { take_operator_page(records); },
      [this](const KeyedRecord& record) { take_operator_record(record); }, [](bool) {});
  replica_follower_ = std::make_unique<Follower>(
      context_.knobs, log, topics_.replicas, seed + 1,
      [this](const std::vector<KeyedRecord>& records) {
        const LogOffset position = replica_follower_->watch().position();
        if (record_server_ != nullptr) {
          record_server_->replace(topics_.replicas, records, position);
        }
        if (replicas_known_ && position < peer_position_) {
          return;  // The page is older than the state taken from a peer.
        }
        std::vector<std::string> ids;
        for (const KeyedRecord& record : records) {
          ids.push_back(record.key);
          take_replica(record.key, record.value);
        }
        retain_replicas(ids);
        replacements_ += replicas_known_ ? 1 : 0;
        replicas_known_ = true;
      },
      [this](const KeyedRecord& record) {
        if (record_server_ != nullptr) {
          record_server_->add(topics_.replicas, record);
        }
        if (record.offset < peer_position_) {
          return;
        }
        if (record.value.empty()) {
          drop_record(record.key);
        } else {
          take_replica(record.key, record.value);
        }
      },
      [this](bool reachable) { note_reachable(reachable); });
}

FleetWatch::~FleetWatch() = default;

void FleetWatch::tick(TimePoint now, std::size_t peers) {
  if (started_at_ == TimePoint{}) {
    started_at_ = now;
  }
  now_ = now;
  // Peers do not notify a node that reads from other nodes when it is behind, so it waits as a lone
  // node does.
  const std::size_t reporting_peers = relays_ ? 0 : peers;
  configuration_follower_->tick(now, reporting_peers);
  replica_follower_->tick(now, reporting_peers);
  for (const std::string& id : removal_grace_.take_expired(now)) {
    remove_replica(id);
  }
  if (subset_revision_ != subset_.revision()) {
    apply_subset();
  }
  if (removal_grace_.empty()) {
    mass_expired_services_.clear();
  } else {
    update_deferred_replicas();
  }
}

void FleetWatch::update_deferred_replicas() {
  struct Count {
    std::size_t held = 0;
    std::size_t known = 0;
  };
  std::map<std::string, Count> services;
  for (const auto& [id, replica] : context_.replicas.all()) {
    const std::string& name = replica.record.registered_name();
    if (replica.record.draining && !suspended_.contains(name)) {
      continue;  // The removal of its record was expected.
    }
    Count& count = services[replica.record.service];
    ++count.known;
    count.held += removal_grace_.is_deferred(name) ? 1 : 0;
  }
  for (const auto& [service, count] : services) {
    if (RemovalGrace::is_mass_expiry(count.held, count.known)) {
      mass_expired_services_.insert(service);
    }
  }
  std::vector<ReplicaRecord> changed;
  for (const auto& [id, replica] : context_.replicas.all()) {
    const std::string& name = replica.record.registered_name();
    const bool suspend = removal_grace_.is_deferred(name) &&
                         !mass_expired_services_.contains(replica.record.service);
    if (suspend && !replica.record.draining) {
      suspended_.insert(name);
      changed.push_back(replica.record);
      changed.back().draining = true;
    } else if (!suspend && suspended_.erase(name) > 0) {
      changed.push_back(replica.record);
      changed.back().draining = false;
    }
  }
  for (const ReplicaRecord& record : changed) {
    spdlog::info("fleet: replica without a record {} replica={}",
                 record.draining ? "suspended from new work" : "resumed for new work", record.id);
    context_.replicas.upsert(record, net::steady_now());
  }
}

void FleetWatch::note_reachable(bool reachable) {
  if (reachable) {
    removal_grace_.log_regained(now_);
  } else {
    removal_grace_.log_lost();
  }
}

void FleetWatch::take_operator_page(const std::vector<KeyedRecord>& records) {
  if (record_server_ != nullptr) {
    record_server_->replace(topics_.configuration, records,
                            configuration_follower_->watch().position());
  }
  std::set<std::string> zones;
  for (const KeyedRecord& record : records) {
    const std::string zone = evacuated_zone(record);
    if (!zone.empty() && !record.value.empty()) {
      zones.insert(zone);
    } else if (record.key == topics_.configuration_key && !record.value.empty()) {
      take_configuration(record.value, "log");
    }
  }
  const LogOffset position = configuration_follower_->watch().position();
  log_evacuations(context_.replicas.evacuations().replace(std::move(zones), position), "log");
}

void FleetWatch::take_operator_record(const KeyedRecord& record) {
  if (record_server_ != nullptr) {
    record_server_->add(topics_.configuration, record);
  }
  ZoneEvacuations& evacuations = context_.replicas.evacuations();
  const std::string zone = evacuated_zone(record);
  if (!zone.empty()) {
    log_evacuations(evacuations.change(zone, !record.value.empty(), record.offset), "log");
  } else if (record.key == topics_.configuration_key && !record.value.empty()) {
    take_configuration(record.value, "log");
  }
  evacuations.advance(record.offset + 1);
}

std::string FleetWatch::evacuated_zone(const KeyedRecord& record) const {
  const std::string& prefix = topics_.evacuation_prefix;
  const bool evacuation = !prefix.empty() && record.key.starts_with(prefix);
  return evacuation ? record.key.substr(prefix.size()) : std::string{};
}

void FleetWatch::log_evacuations(bool changed, const std::string& source) {
  if (changed) {
    const ZoneEvacuations& evacuations = context_.replicas.evacuations();
    spdlog::info("fleet: zone evacuations changed zones=[{}] position={} source={}",
                 fmt::join(evacuations.zones(), ","), evacuations.position(), source);
  }
}

void FleetWatch::take_evacuations(const FleetState& state, const std::string& peer) {
  ZoneEvacuations& evacuations = context_.replicas.evacuations();
  if (state.operator_position > evacuations.position()) {
    const std::set<std::string> zones(state.evacuated_zones.begin(), state.evacuated_zones.end());
    log_evacuations(evacuations.replace(zones, state.operator_position), peer);
  }
}

void FleetWatch::take_configuration(const std::string& value, const std::string& source) {
  std::string problem;
  std::optional<RoutingConfiguration> read =
      value_or_problem([&] { return reader_.read_configuration(value); }, problem);
  if (!read) {
    spdlog::error("fleet: configuration record is malformed source={} why=\"{}\"", source, problem);
    return;
  }
  if (read->version <= context_.configuration->version) {
    return;
  }
  spdlog::info("fleet: configuration applied version={} before={} source={} routes={}",
               read->version, context_.configuration->version, source, read->routes.size());
  configuration_value_ = value;
  context_.configuration = std::make_shared<RoutingConfiguration>(std::move(*read));
  context_.metrics.set_configuration_version(context_.configuration->version);
  on_change_();
}

void FleetWatch::take_replica(const std::string& name, const std::string& value) {
  removal_grace_.cancel_deferral(name);
  const auto known = records_.find(name);
  const bool suspended = suspended_.erase(name) > 0;
  if (known != records_.end() && known->second.value == value && !suspended) {
    return;
  }
  std::string problem;
  const std::optional<ReplicaRecord> record =
      value_or_problem([&] { return reader_.read_replica(name, value); }, problem);
  if (!record) {
    take_unreadable_record(name, value, problem);
    return;
  }
  if (is_of_earlier_incarnation(*record)) {
    spdlog::info("fleet: record of an earlier incarnation ignored replica={}", record->id);
    return;
  }
  const TimePoint now = net::steady_now();
  KnownRecord& kept = records_[name];
  const std::string before = kept.replica;
  const bool used_before = !before.empty() && context_.replicas.find(before) != nullptr;
  if (!before.empty() && before != record->id) {
    if (used_before) {
      spdlog::info("fleet: replica restarted replica={} before={}", record->id, before);
    }
    context_.replicas.end_incarnation(before, now);
  }
  if (record->started_ms > 0) {
    newest_start_[name] = record->started_ms;
  }
  unreadable_ -= known != records_.end() && before.empty() ? 1 : 0;
  discount_replica(kept);
  kept = {value, record->id, record->service, record->zone};
  count_replica(kept);
  if (subset_.contains(kept.service, kept.zone, name)) {
    spdlog::info("fleet: replica {} replica={} service={} software={} address={} slots={}",
                 record->draining ? "drains" : "ready", record->id, record->service,
                 record->software_version, record->address.to_string(), record->slots);
    context_.replicas.upsert(*record, now);
  } else if (used_before) {
    context_.replicas.remove(record->id);
  }
  update_record_metrics();
}

void FleetWatch::count_replica(KnownRecord& known) {
  if (!counts_from_peer_) {
    subset_.add(known.service, known.zone);
    known.counted = true;
  }
}

void FleetWatch::discount_replica(KnownRecord& known) {
  if (std::exchange(known.counted, false)) {
    subset_.remove(known.service, known.zone);
  }
}

void FleetWatch::set_relaying(bool relays, bool whole) {
  if (relays == relays_ && (whole == whole_ || !relays)) {
    return;
  }
  relays_ = relays;
  whole_ = whole;
  const bool passes_on = relays && whole;
  spdlog::info("fleet: records relayed={} whole={}", relays, whole);
  if (record_server_ != nullptr && passes_on) {
    record_server_->keep(topics_.configuration, false);
    record_server_->keep(topics_.replicas, true);
  } else if (record_server_ != nullptr) {
    record_server_->forget(topics_.configuration);
    record_server_->forget(topics_.replicas);
  }
  if (counts_from_peer_ && (whole || !relays)) {
    counts_from_peer_ = false;
    subset_.adopt_counts({});
    for (auto& [name, known] : records_) {
      if (!known.replica.empty()) {
        count_replica(known);
      }
    }
  }
  const Duration bound = context_.knobs.freshness_bound;
  // Relayed records take two more steps, each of which may wait for the pause between two reads.
  const Duration read_bound = relays ? bound * 3 / 4 : bound;
  configuration_follower_->set_bound(read_bound);
  replica_follower_->set_bound(read_bound);
  if (passes_on) {
    configuration_follower_->reload();
  }
  // A node that has read all records so far continues from its position with its subset.
  if (passes_on || !relays) {
    replica_follower_->reload();
  }
}

void FleetWatch::take_counts(const std::vector<ReplicaCount>& counts) {
  if (!relays_ || whole_) {
    return;
  }
  const bool first = !std::exchange(counts_from_peer_, true);
  subset_.adopt_counts(counts);
  if (first) {
    for (auto& [name, known] : records_) {
      known.counted = false;
    }
    subset_widened_ = subset_.widened();  // The load under way already covers this subset.
  }
}

bool FleetWatch::belongs_to(std::uint64_t node_hash, const KeyedRecord& record) const {
  const auto known = records_.find(record.key);
  if (record.value.empty() || known == records_.end() || known->second.replica.empty()) {
    return true;
  }
  return subset_.contains_for(node_hash, known->second.service, known->second.zone, record.key);
}

bool FleetWatch::use_known_record(const std::string& name, const std::string& value) {
  std::string problem;
  const std::optional<ReplicaRecord> record =
      value_or_problem([&] { return reader_.read_replica(name, value); }, problem);
  if (!record) {
    spdlog::error("fleet: stored replica record is malformed record={} why=\"{}\"", name, problem);
    return false;
  }
  context_.replicas.upsert(*record, net::steady_now());
  return true;
}

void FleetWatch::apply_subset() {
  subset_revision_ = subset_.revision();
  const bool widened = std::exchange(subset_widened_, subset_.widened()) != subset_.widened();
  if (widened && counts_from_peer_) {
    replica_follower_->reload();  // Records of the new subset have not been read.
  }
  std::size_t added = 0;
  std::size_t removed = 0;
  for (const auto& [name, known] : records_) {
    if (known.replica.empty()) {
      continue;
    }
    const bool used = context_.replicas.find(known.replica) != nullptr;
    const bool wanted = subset_.contains(known.service, known.zone, name);
    if (used && !wanted) {
      context_.replicas.remove(known.replica);
      ++removed;
    } else if (wanted && !used) {
      added += use_known_record(name, known.value) ? 1 : 0;
    }
  }
  spdlog::info("fleet: replica subset changed slices={} records={} used={} added={} removed={}",
               subset_.slices(), records_.size(), context_.replicas.all().size(), added, removed);
}

bool FleetWatch::is_of_earlier_incarnation(const ReplicaRecord& record) const {
  const auto newest = newest_start_.find(record.registered_name());
  return newest != newest_start_.end() && record.started_ms < newest->second;
}

void FleetWatch::take_unreadable_record(const std::string& name, const std::string& value,
                                        const std::string& problem) {
  KnownRecord& known = records_[name];
  const bool newly_unreadable = known.value.empty() || !known.replica.empty();
  known.value = value;
  forget_replica(known);
  unreadable_ += newly_unreadable ? 1 : 0;
  if (newly_unreadable) {  // Logged once: a writer may repeat such records many times a second.
    spdlog::error("fleet: replica record is malformed record={} bytes={} why=\"{}\"", name,
                  value.size(), problem);
  }
  update_record_metrics();
}

void FleetWatch::forget_replica(KnownRecord& known) {
  if (!known.replica.empty()) {
    context_.replicas.remove(std::exchange(known.replica, {}));
    discount_replica(known);
  }
}

void FleetWatch::update_record_metrics() {
  context_.metrics.set_unreadable_records(unreadable_);
}

void FleetWatch::drop_record(const std::string& id) {
  const auto known = records_.find(id);
  if (known == records_.end() || removal_grace_.is_deferred(id)) {
    return;
  }
  const bool used = context_.replicas.find(known->second.replica) != nullptr;
  if (used && removal_grace_.defer(id, now_)) {
    spdlog::info("fleet: replica lapsed, removal deferred replica={}", id);
  } else {
    remove_replica(id);
  }
}

void FleetWatch::remove_replica(const std::string& id) {
  suspended_.erase(id);
  auto known = records_.extract(id);
  if (known.empty()) {
    return;
  }
  if (context_.replicas.find(known.mapped().replica) != nullptr) {
    spdlog::info("fleet: replica gone record={} replica={}", id, known.mapped().replica);
  }
  unreadable_ -= known.mapped().replica.empty() ? 1 : 0;
  forget_replica(known.mapped());
  update_record_metrics();
}

void FleetWatch::retain_replicas(const std::vector<std::string>& ids) {
  const std::set<std::string_view> retained(ids.begin(), ids.end());
  std::vector<std::string> gone;
  for (const auto& [id, record] : records_) {
    if (!retained.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) {
    drop_record(id);
  }
}

bool FleetWatch::view_partial() const {
  return subset_.divided() || counts_from_peer_ || replica_follower_->watch().reloading();
}

LogOffset FleetWatch::replicas_position() const {
  return replicas_known_ ? std::max(peer_position_, replica_follower_->watch().position()) : 0;
}

FleetState FleetWatch::state() const {
  FleetState state;
  state.version = context_.configuration->version;
  state.configuration = configuration_value_;
  state.replicas_known = replicas_known_ && !(relays_ && !whole_);
  state.replicas_position = replicas_position();
  const ZoneEvacuations& evacuations = context_.replicas.evacuations();
  state.operator_position = evacuations.position();
  state.evacuated_zones = {evacuations.zones().begin(), evacuations.zones().end()};
  for (const auto& [name, record] : records_) {
    if (state.replicas_known && !removal_grace_.is_deferred(name)) {
      state.replicas.push_back({name, record.value});
    }
  }
  return state;
}

FleetKnowledge FleetWatch::knowledge() const {
  return {context_.configuration->version, replicas_known_, replicas_position(),
          context_.replicas.evacuations().position()};
}

void FleetWatch::take(const FleetState& state, const std::string& peer) {
  if (state.version > context_.configuration->version) {
    take_configuration(state.configuration, peer);
  }
  take_evacuations(state, peer);
  const bool newer = state.replicas_position > replicas_position();
  if (!state.replicas_known || (replicas_known_ && !newer)) {
    return;
  }
  peer_position_ = state.replicas_position;
  replacements_ += replicas_known_ ? 1 : 0;
  replicas_known_ = true;
  std::vector<std::string> ids;
  for (const StoredReplica& replica : state.replicas) {
    ids.push_back(replica.id);
    take_replica(replica.id, replica.value);
  }
  retain_replicas(ids);
}

void FleetWatch::mark_unconfirmed() {
  configuration_follower_->mark_unconfirmed();
  replica_follower_->mark_unconfirmed();
}

bool FleetWatch::needs_peer(TimePoint now) const {
  return replicas_age(now).state != WatchState::kFollowing ||
         configuration_age(now).state != WatchState::kFollowing;
}

WatchAge FleetWatch::age_of(const Follower& follower, TimePoint now) const {
  const TimePoint confirmed_at = follower.watch().confirmed_at();
  return {follower.watch().state(now), now - std::max(confirmed_at, started_at_)};
}

WatchAge FleetWatch::configuration_age(TimePoint now) const {
  return age_of(*configuration_follower_, now);
}

WatchAge FleetWatch::replicas_age(TimePoint now) const {
  return age_of(*replica_follower_, now);
}

}  // namespace dockpoint
