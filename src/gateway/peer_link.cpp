#include "gateway/peer_link.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "dockpoint/core/address.hpp"
#include "net/clock.hpp"

namespace dockpoint {
namespace {

/// Callers get only the addresses of this node's cell if it has at least this many other nodes:
/// enough to spread their connections, and to continue if some of the nodes die at once.
constexpr std::size_t kMinCellAddresses = 8;

/// Up to this many nodes in a cell send digests directly to each other; in larger cells relays take
/// fewer datagrams.
constexpr std::size_t kMaxDirectCellMembers = 4;

using boost::asio::ip::udp;
using ErrorCode = boost::system::error_code;

Member self_member(const GatewayContext& context, const PeerAddresses& addresses,
                   const std::string& zone, std::uint64_t run) {
  Member member;
  member.id = context.node;
  member.incarnation = run;
  member.run = run;
  member.peer_address = addresses.datagrams;
  member.api_address = addresses.frontend;
  member.control_address = addresses.control;
  member.zone = zone;
  member.capabilities = kAllCapabilities;
  return member;
}

}  // namespace

PeerLink::PeerLink(GatewayContext& context, const PeerAddresses& addresses, std::string zone,
                   std::uint64_t run, PeerAhead on_peer_ahead, SlotRequested on_slot_requested,
                   CrashReported on_crash_reported, OriginsReceived on_origins_received,
                   PeerHeard on_peer_heard)
    : context_(context),
      addresses_(addresses),
      membership_(context.knobs, self_member(context, addresses, zone, run), run, *this),
      cell_(context.node, zone),
      cell_relay_(context.node, zone, kMaxDirectCellMembers),
      relay_(context.node, zone),
      zone_(zone),
      cell_collector_(zone),
      collector_(zone),
      own_key_(node_key(context.node)),
      on_peer_ahead_(std::move(on_peer_ahead)),
      on_slot_requested_(std::move(on_slot_requested)),
      on_crash_reported_(std::move(on_crash_reported)),
      on_origins_received_(std::move(on_origins_received)),
      on_peer_heard_(std::move(on_peer_heard)),
      socket_(context.loop) {}

void PeerLink::open() {
  const std::optional<Address> address = Address::parse(addresses_.datagrams);
  const udp::endpoint endpoint(
      boost::asio::ip::make_address(address ? address->host : std::string{}),
      address ? address->port : std::uint16_t{0});
  socket_.open(endpoint.protocol());
  socket_.bind(endpoint);
  socket_.non_blocking(true);
  receive();
}

void PeerLink::set_candidates(const std::vector<std::string>& datagram_addresses) {
  membership_.set_candidates(datagram_addresses);
}

void PeerLink::set_fleet_position(const FleetPosition& position) {
  fleet_position_ = position;
  membership_.set_configuration_revision(position.version);
}

void PeerLink::tick(TimePoint now) {
  if (now - last_tick_ > context_.knobs.round_gap_limit) {
    // This process was suspended, so the silence of other nodes proves nothing.
    silence_counts_from_ = now;
  }
  last_tick_ = now;
  membership_.tick(now);
  if (now >= next_digest_) {
    send_digest(now);
  }
  if (now >= next_collection_) {
    send_collections(now);
  }
}

const std::vector<const Member*>& PeerLink::neighbours() const {
  return cell_.divided() ? cell_.others() : membership_.alive();
}

void PeerLink::update_cell() {
  const std::pair<std::uint64_t, std::size_t> current{membership_.version(), slices_};
  if (std::exchange(cell_of_, current) != current) {
    const bool divided = cell_.divided();
    cell_.update(membership_.alive(), slices_, LoadRelay::kDirectNodes);
    if (!cell_.divided()) {
      cell_relay_.set_members({});
    }
    if (divided != cell_.divided()) {
      spdlog::info("membership: load digests are sent to {} members={} slices={} cell={}",
                   cell_.divided() ? "the cell" : "all", membership_.alive().size(), slices_,
                   cell_.others().size());
      // Nodes not heard before the change were not expected to send.
      silence_counts_from_ = last_tick_;
    }
  }
}

bool PeerLink::broadcasts_digests() const {
  return !cell_.divided() ||
         (context_.rate_limiter != nullptr && context_.rate_limiter->limits_any());
}

std::vector<const Member*> PeerLink::members_heard(const std::vector<const Member*>& members,
                                                   TimePoint now) const {
  const std::size_t alive = members.size();
  std::vector<const Member*> heard;
  std::copy_if(members.begin(), members.end(), std::back_inserter(heard),
               [&](const Member* member) { return !silent(*member, now); });
  // If most are silent, this node itself is more likely to be cut off.
  return heard.size() * 2 > alive ? heard : members;
}

void PeerLink::send_digest(TimePoint now) {
  next_digest_ = now + context_.knobs.replica_digest_interval;
  last_digest_ = now;
  context_.replicas.expire_peer_loads(now);
  update_cell();
  const std::vector<const Member*>& expected = neighbours();
  peers_reaching_log_ = static_cast<std::size_t>(
      std::count_if(expected.begin(), expected.end(),
                    [&](const Member* member) { return reports_log_reachable(*member, now); }));
  LoadDigest digest{
      own_key_,
      fleet_position_.version,
      fleet_position_.replicas,
      log_reachable_,
      pending_items_,
      context_.replicas.own_load(now),
      context_.rate_limiter == nullptr ? SpendReport{} : context_.rate_limiter->report(now),
      fleet_position_.operator_records,
      false,
      context_.replicas.paces().report(now)};
  if (cell_.divided()) {
    std::vector<const Member*> members = members_heard(cell_.others(), now);
    members.push_back(&membership_.self());
    cell_relay_.set_members(members);
    tell(digest, cell_relay_, cell_collector_);
    digest.without_load = true;
    digest.entries.clear();
    digest.paces.clear();
    digest.pending_items = 0;
  }
  if (!broadcasts_digests()) {
    relay_.set_members({});
    return;
  }
  // In a small fleet digests also go to silent members: they may receive although they are not
  // heard.
  const std::vector<const Member*>& alive = membership_.alive();
  relay_.set_members(alive.size() <= LoadRelay::kDirectNodes ? alive : members_heard(alive, now));
  tell(digest, relay_, collector_);
}

void PeerLink::tell(const LoadDigest& digest, LoadRelay& relay, DigestCollector& collector) {
  const std::string bytes = encode(digest);
  const std::vector<std::string> recipients = relay.next_digest_recipients();
  for (const std::string& address : recipients) {
    send_bytes(address, bytes);
  }
  if (recipients.empty() && relay.relays()) {
    collector.add(own_key_, log_reachable_, bytes);
  }
}

void PeerLink::send_collections(TimePoint now) {
  next_collection_ = now + context_.knobs.replica_digest_interval;
  send_collection(cell_relay_, cell_collector_);
  send_collection(relay_, collector_);
}

void PeerLink::send_collection(LoadRelay& relay, DigestCollector& collector) {
  if (relay.direct()) {
    return;
  }
  const LoadCollection collection = collector.next(context_.knobs.relay_datagram_bytes);
  if (collection.empty()) {
    return;
  }
  const std::string bytes = encode(collection);
  for (const std::string& address : relay.next_collection_recipients()) {
    send_bytes(address, bytes);
  }
}

void PeerLink::take_collection(std::string_view bytes, TimePoint now) {
  auto collection = decode_load_collection(bytes);
  if (!collection) {
    return;
  }
  if (collection->zone != zone_ && !collection->passed_on) {
    // The sender considered this node a relay, so it forwards the collection even if its own view
    // differs.
    collection->passed_on = true;
    const std::string passed_on = encode(*collection);
    for (const std::string& address : relay_.zone_recipients()) {
      send_bytes(address, passed_on);
    }
  }
  for (const std::uint32_t node : collection->reaching_log) {
    take_heartbeat(node, true, now);
  }
  for (const std::uint32_t node : collection->cut_off) {
    take_heartbeat(node, false, now);
  }
  std::vector<LoadDigest> digests;
  for (const std::string& digest : collection->digests) {
    if (auto decoded = decode_load_digest(digest)) {
      digests.push_back(std::move(*decoded));
    }
  }
  take_digests(std::move(digests), now);
}

void PeerLink::take_heartbeat(std::uint32_t node, bool log_reachable, TimePoint now) {
  if (node == own_key_) {
    return;
  }
  note_heard(node, now);
  reaches_log_[node] = log_reachable;
  if (context_.rate_limiter != nullptr) {
    context_.rate_limiter->record_heartbeat(node, now);
  }
  context_.replicas.renew_peer(node, now);
}

void PeerLink::note_heard(std::uint32_t node, TimePoint now) {
  const auto [heard, first] = last_heard_.try_emplace(node, now);
  const Duration limit = context_.knobs.replica_digest_interval * context_.knobs.missed_digests;
  const bool returned = first || now - std::exchange(heard->second, now) > limit;
  const Member* member = returned ? member_of(node) : nullptr;
  if (member != nullptr) {
    on_peer_heard_(member->peer_address);
  }
}

void PeerLink::announce_load() {
  constexpr Duration kShortestInterval = std::chrono::milliseconds(20);
  const TimePoint now = net::steady_now();
  if (now - last_digest_ >= kShortestInterval) {
    send_digest(now);
  }
}

void PeerLink::leave() {
  membership_.leave();
}

bool PeerLink::silent(const Member& member, TimePoint now) const {
  if (member.id == context_.node) {
    return false;
  }
  if (!broadcasts_digests() && !cell_.contains(member.id)) {
    return false;  // Only the membership protocol hears from it.
  }
  const auto heard = last_heard_.find(node_key(member.id));
  const TimePoint since = heard == last_heard_.end()
                              ? silence_counts_from_
                              : std::max(heard->second, silence_counts_from_);
  return now - since > context_.knobs.replica_digest_interval * context_.knobs.missed_digests;
}

std::vector<std::string> PeerLink::frontends() const {
  const TimePoint now = net::steady_now();
  std::vector<std::string> responsive;
  std::vector<std::string> all;
  // A failed node of the cell is detected within a few digests, any other only by the membership
  // protocol, which takes seconds.
  const bool cell_suffices = cell_.divided() && cell_.others().size() >= kMinCellAddresses;
  if (cell_suffices && !membership_.has_left()) {
    all.push_back(addresses_.frontend);
    responsive = all;
  }
  for (const Member* member : cell_suffices ? cell_.others() : membership_.alive()) {
    all.push_back(member->api_address);
    if (member->state == MemberState::kAlive && !silent(*member, now)) {
      responsive.push_back(member->api_address);
    }
  }
  // If most are silent, this node itself is more likely to be cut off.
  return responsive.size() * 2 > all.size() ? responsive : all;
}

std::vector<SlotHolder> PeerLink::slot_holders(TimePoint now) const {
  std::vector<SlotHolder> holders{{context_.node, zone_}};
  for (const Member* member : members_heard(neighbours(), now)) {
    if (member->id != context_.node) {
      holders.push_back({member->id, member->zone});
    }
  }
  std::sort(holders.begin(), holders.end(),
            [](const SlotHolder& left, const SlotHolder& right) { return left.node < right.node; });
  return holders;
}

std::vector<std::string> PeerLink::members_not_left() const {
  std::vector<std::string> ids;
  for (const Member& member : membership_.all()) {
    if (member.state != MemberState::kLeft) {
      ids.push_back(member.id);
    }
  }
  return ids;
}

bool PeerLink::some_peer_reaches_log() const {
  const std::vector<const Member*>& expected = neighbours();
  return std::any_of(expected.begin(), expected.end(), [&](const Member* member) {
    const auto reported = reaches_log_.find(node_key(member->id));
    return reported != reaches_log_.end() && reported->second;
  });
}

std::vector<std::string> PeerLink::control_addresses() const {
  return control_addresses_of(membership_.alive(), [](const Member&) { return true; });
}

std::vector<std::string> PeerLink::zone_control_addresses() const {
  return control_addresses_of(membership_.alive(),
                              [&](const Member& member) { return member.zone == zone_; });
}

std::vector<std::string> PeerLink::control_addresses_reaching_log() const {
  const TimePoint now = net::steady_now();
  return control_addresses_of(
      neighbours(), [&](const Member& member) { return reports_log_reachable(member, now); });
}

bool PeerLink::reports_log_reachable(const Member& member, TimePoint now) const {
  const auto reported = reaches_log_.find(node_key(member.id));
  return reported != reaches_log_.end() && reported->second && !silent(member, now);
}

std::vector<std::string> PeerLink::control_addresses_of(
    const std::vector<const Member*>& members,
    const std::function<bool(const Member&)>& wanted) const {
  std::vector<std::string> addresses;
  for (const Member* member : members) {
    const bool other = member->id != context_.node && !member->control_address.empty();
    if (other && wanted(*member)) {
      addresses.push_back(member->control_address);
    }
  }
  return addresses;
}

void PeerLink::send(const std::string& address, const PeerMessage& message) {
  send_bytes(address, encode(message));
}

void PeerLink::send_bytes(const std::string& address, const std::string& bytes) {
  const std::optional<Address> parsed = Address::parse(address);
  if (!parsed || bytes.size() > kMaximumDatagramBytes) {
    return;
  }
  ErrorCode ignored;
  socket_.send_to(boost::asio::buffer(bytes),
                  udp::endpoint(boost::asio::ip::make_address(parsed->host, ignored), parsed->port),
                  0, ignored);
}

void PeerLink::receive() {
  const auto handle = [this](const ErrorCode& error, std::size_t bytes) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      on_datagram({buffer_.data(), bytes});
    }
    receive();
  };
  socket_.async_receive_from(boost::asio::buffer(buffer_), sender_, handlers_.wrap(handle));
}

void PeerLink::on_datagram(std::string_view bytes) {
  const TimePoint now = net::steady_now();
  if (is_load_collection(bytes)) {
    take_collection(bytes, now);
    return;
  }
  if (is_load_digest(bytes)) {
    auto digest = decode_load_digest(bytes);
    if (!digest) {
      return;
    }
    const bool for_cell = cell_.divided() && !digest->without_load;
    LoadRelay& relay = for_cell ? cell_relay_ : relay_;
    if (!relay.direct()) {
      DigestCollector& collector = for_cell ? cell_collector_ : collector_;
      collector.add(digest->node, digest->log_reachable, std::string(bytes));
    }
    take_digests({std::move(*digest)}, now);
    return;
  }
  if (is_slot_request(bytes)) {
    if (const auto request = decode_slot_request(bytes)) {
      on_slot_requested_(*request);
    }
    return;
  }
  if (is_crash_report(bytes)) {
    if (const auto report = decode_crash_report(bytes, now)) {
      on_crash_reported_(*report, sender_address());
    }
    return;
  }
  if (is_stream_origin_message(bytes)) {
    if (const auto origins = decode_stream_origin_message(bytes)) {
      on_origins_received_(*origins, sender_address());
    }
    return;
  }
  const auto message = decode_peer_message(bytes);
  if (!message) {
    return;
  }
  membership_.receive(*message, now);
  note_heard(node_key(message->sender.id), now);
  const FleetPosition position{message->configuration_revision, 0, 0};
  if (ahead(position)) {
    on_peer_ahead_(position, message->sender.control_address);
  }
}

std::string PeerLink::sender_address() const {
  return Address{sender_.address().to_string(), sender_.port()}.to_string();
}

void PeerLink::take_digests(std::vector<LoadDigest> digests, TimePoint now) {
  std::erase_if(digests, [&](const LoadDigest& digest) { return digest.node == own_key_; });
  for (const LoadDigest& digest : digests) {
    take_heartbeat(digest.node, digest.log_reachable, now);
    if (context_.rate_limiter != nullptr) {
      context_.rate_limiter->merge_report(digest.node, digest.spend, now);
    }
    const FleetPosition position{digest.configuration_version, digest.fleet_position,
                                 digest.operator_position};
    if (ahead(position)) {
      on_peer_ahead_(position, control_address_of(digest.node));
    }
  }
  std::erase_if(digests, [](const LoadDigest& digest) { return digest.without_load; });
  context_.replicas.set_peer_loads(digests, now);
}

const Member* PeerLink::member_of(std::uint32_t node) const {
  const std::vector<const Member*>& members = neighbours();
  const auto member = std::find_if(members.begin(), members.end(), [&](const Member* candidate) {
    return node_key(candidate->id) == node;
  });
  return member == members.end() ? nullptr : *member;
}

std::string PeerLink::control_address_of(std::uint32_t node) const {
  const Member* member = member_of(node);
  return member == nullptr ? std::string{} : member->control_address;
}

void PeerLink::send_slot_request(std::uint32_t node, const SlotRequest& request) {
  if (const Member* member = member_of(node)) {
    send_bytes(member->peer_address, encode(request));
  }
}

bool PeerLink::ahead(const FleetPosition& peer) const {
  return peer.version > fleet_position_.version || fleet_position_.behind(peer);
}

}  // namespace dockpoint
