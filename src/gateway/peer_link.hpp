#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dockpoint/admission/crash_evidence.hpp"
#include "dockpoint/core/life.hpp"
#include "dockpoint/membership/catch_up.hpp"
#include "dockpoint/membership/cell.hpp"
#include "dockpoint/membership/digest_collector.hpp"
#include "dockpoint/membership/load_relay.hpp"
#include "dockpoint/membership/membership.hpp"
#include "dockpoint/routing/slot_request.hpp"
#include "dockpoint/routing/slot_shares.hpp"
#include "dockpoint/streaming/stream_origin_message.hpp"
#include "gateway/gateway_context.hpp"

namespace dockpoint {

/// Addresses of this node.
struct PeerAddresses {
  std::string datagrams;  ///< `IP:port` for messages between nodes.
  std::string frontend;   ///< `IP:port` for callers.
  std::string control;    ///< `IP:port` for calls between nodes.
};

/// Datagrams between nodes: membership messages, configuration versions and load digests.
///
/// Digests are sent at a steady interval, so they also serve as heartbeats: a node whose digests
/// stop is omitted from the addresses given to callers well before the membership protocol declares
/// it dead. In a fleet divided into cells, digests go to the nodes of the same cell; the rest of
/// the fleet is known from the membership protocol alone. If tenants have rate limits, every node
/// still reports its admitted load to all nodes, through relays. Single-threaded; borrows the
/// context.
class PeerLink : private PeerSender {
 public:
  /// Called when a peer reports a newer fleet position than this node's; `control_address` is the
  /// peer's.
  using PeerAhead =
      std::function<void(const FleetPosition& position, const std::string& control_address)>;

  /// Called when a peer requests a slot for a batch item.
  using SlotRequested = std::function<void(const SlotRequest&)>;

  /// Called when a peer reports requests that crash replicas. @param address the peer's datagram
  /// address.
  using CrashReported = std::function<void(const CrashReport& report, const std::string& address)>;

  /// Called when a peer tells or asks the origins of streams. @param address the peer's datagram
  /// address.
  using OriginsReceived =
      std::function<void(const StreamOriginMessage& message, const std::string& address)>;

  /// Called when a peer is heard for the first time, or again after a silence. @param address the
  /// peer's datagram address.
  using PeerHeard = std::function<void(const std::string& address)>;

  PeerLink(GatewayContext& context, const PeerAddresses& addresses, std::string zone,
           std::uint64_t run, PeerAhead on_peer_ahead, SlotRequested on_slot_requested,
           CrashReported on_crash_reported, OriginsReceived on_origins_received,
           PeerHeard on_peer_heard);

  /// @throws boost::system::system_error if the address cannot be bound.
  void open();
  void set_candidates(const std::vector<std::string>& datagram_addresses);
  /// Sets the fleet position that this node reports to its peers.
  void set_fleet_position(const FleetPosition& position);
  void set_log_reachable(bool reachable) { log_reachable_ = reachable; }
  /// @param slices number of slices that the zone's replicas are divided into.
  void set_slices(std::size_t slices) { slices_ = slices; }
  /// @param items number of batch items that this node is running or has yet to run.
  void set_pending_items(std::size_t items) { pending_items_ = static_cast<std::uint32_t>(items); }
  void tick(TimePoint now);
  /// Sends a digest at once, after a load change that the other nodes should know of.
  void announce_load();
  /// Sends a request to a node, see `node_key`.
  void send_slot_request(std::uint32_t node, const SlotRequest& request);
  /// Sends a datagram to another node.
  void send_bytes(const std::string& address, const std::string& bytes);
  /// Announces that this node accepts no new callers.
  void leave();

  /// @return frontend addresses of the nodes that callers should use now.
  std::vector<std::string> frontends() const;
  /// Changes whenever a member joins, leaves or changes its state.
  std::uint64_t members_version() const { return membership_.version(); }
  /// @return the members that are alive; valid until `members_version` changes.
  const std::vector<const Member*>& alive() const { return membership_.alive(); }
  /// @return ids of all members that have not left, dead ones and this node included.
  std::vector<std::string> members_not_left() const;
  /// @return the recently heard nodes that use the same replicas as this one, including itself.
  std::vector<SlotHolder> slot_holders(TimePoint now) const;
  /// @return control addresses of the other nodes that are alive.
  std::vector<std::string> control_addresses() const;
  /// @return control addresses of the other live nodes of this node's zone.
  std::vector<std::string> zone_control_addresses() const;
  /// @return control addresses of the recently heard nodes that last reported that they reach the
  /// log.
  std::vector<std::string> control_addresses_reaching_log() const;
  /// @return the number of recently heard nodes that reported that they reach the log, as of the
  /// last digest sent.
  std::size_t peers_reaching_log() const { return peers_reaching_log_; }
  /// @return whether any live node last reported that it reaches the log.
  bool some_peer_reaches_log() const;

 private:
  void send(const std::string& address, const PeerMessage& message) override;
  void receive();
  void on_datagram(std::string_view bytes);
  /// @return the datagram address of the sender of the last datagram.
  std::string sender_address() const;
  /// @return whether the member's digests have been missing for too long.
  bool silent(const Member& member, TimePoint now) const;
  /// @return whether a peer at this position is ahead of this node.
  bool ahead(const FleetPosition& peer) const;
  /// A peer gave a sign of life.
  void note_heard(std::uint32_t node, TimePoint now);
  void take_heartbeat(std::uint32_t node, bool log_reachable, TimePoint now);
  void take_digests(std::vector<LoadDigest> digests, TimePoint now);
  std::vector<std::string> control_addresses_of(
      const std::vector<const Member*>& members,
      const std::function<bool(const Member&)>& wanted) const;
  /// @return the member that a node's key stands for, or null.
  const Member* member_of(std::uint32_t node) const;
  /// @return where the node takes calls of other nodes; empty if it is not known.
  std::string control_address_of(std::uint32_t node) const;
  /// @return nodes whose digests this one expects: those of its cell, or all live nodes.
  const std::vector<const Member*>& neighbours() const;
  void update_cell();
  /// @return whether this node's digests reach all nodes, directly or through relays.
  bool broadcasts_digests() const;
  void send_digest(TimePoint now);
  /// Sends a digest to its recipients, or adds it to the collector if this node is their relay.
  void tell(const LoadDigest& digest, LoadRelay& relay, DigestCollector& collector);
  /// As a relay, sends the collected digests.
  void send_collections(TimePoint now);
  void send_collection(LoadRelay& relay, DigestCollector& collector);
  /// @param bytes the collection as received, forwarded unchanged except for the `passed_on` flag.
  void take_collection(std::string_view bytes, TimePoint now);
  /// @return whether the member was heard recently and last reported that it reaches the log.
  bool reports_log_reachable(const Member& member, TimePoint now) const;
  /// @return the recently heard ones of `members`, or all of them if most are silent.
  std::vector<const Member*> members_heard(const std::vector<const Member*>& members,
                                           TimePoint now) const;

  GatewayContext& context_;
  const PeerAddresses addresses_;
  Membership membership_;
  Cell cell_;
  LoadRelay cell_relay_;
  LoadRelay relay_;
  const std::string zone_;
  DigestCollector cell_collector_;  ///< Digests of this node's cell, if it is a relay there.
  DigestCollector collector_;       ///< Digests of this node's zone, if it is a relay.
  const std::uint32_t own_key_;
  PeerAhead on_peer_ahead_;
  SlotRequested on_slot_requested_;
  CrashReported on_crash_reported_;
  OriginsReceived on_origins_received_;
  PeerHeard on_peer_heard_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, kMaximumDatagramBytes + 1> buffer_{};
  FleetPosition fleet_position_;
  TimePoint next_digest_{};
  TimePoint next_collection_{};
  TimePoint last_digest_{};
  std::unordered_map<std::uint32_t, TimePoint>
      last_heard_;  ///< By node_key: time of the last message of any kind.
  std::unordered_map<std::uint32_t, bool>
      reaches_log_;  ///< By node_key: last reported log reachability.
  bool log_reachable_ = false;
  std::size_t peers_reaching_log_ = 0;
  std::uint32_t pending_items_ = 0;
  std::size_t slices_ = 1;
  std::pair<std::uint64_t, std::size_t>
      cell_of_{};  ///< Membership version and slices that the cell was computed from.
  TimePoint last_tick_{};
  TimePoint silence_counts_from_{};
  HandlerGuard handlers_;
};

}  // namespace dockpoint
