#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/time.hpp"
#include "dockpoint/membership/messages.hpp"

/// Failure detection and membership gossip in the manner of SWIM.
///
/// Every interval a node pings one member. Without an ack in time it asks a few helpers to ping
/// on its behalf, which distinguishes a failed link from a failed member. Without any ack the
/// member becomes suspect, and dead unless it refutes the suspicion in time by raising its
/// incarnation. Changes are piggybacked on probes and acks. A leave is final within its
/// incarnation.
///
/// Recovery: the others consider a partitioned node dead. Its address stays a candidate (from the
/// platform's machine list and the seeds), one candidate is contacted per interval, and the node
/// refutes its own death as soon as it learns of it.
namespace dockpoint {

/// Sends datagrams on behalf of the decision logic; must not block.
class PeerSender {
 public:
  virtual ~PeerSender() = default;
  /// @param address `IP:port`.
  virtual void send(const std::string& address, const PeerMessage& message) = 0;
};

/// One node's view of the membership. Not thread-safe; borrows the sender.
class Membership {
 public:
  /// @param self this node; its incarnation must exceed those of all its earlier runs.
  /// @param seed seed of the random choice of members to contact.
  Membership(const Knobs& knobs, Member self, std::uint64_t seed, PeerSender& sender);

  /// Replaces the addresses to contact while no live member is known there.
  void set_candidates(const std::vector<std::string>& peer_addresses);

  /// Values that every message carries.
  void set_configuration_revision(std::uint64_t revision) { configuration_revision_ = revision; }
  void set_pending_batch_items(std::uint32_t items) { pending_batch_items_ = items; }
  void set_log_reachable(bool reachable);

  /// Drives probes and timeouts; call at least every 100 ms.
  void tick(TimePoint now);

  /// Processes a message of any type; answers probes and sync requests.
  void receive(const PeerMessage& message, TimePoint now);

  /// Announces that this node leaves. All its later messages carry the left state. A node that
  /// has left still hears of other departures and answers messages.
  void leave();

  /// @return every member not dead or left, this node included while it has not left. The list
  /// stays valid until `version` changes.
  const std::vector<const Member*>& alive() const;

  /// @return the alive members that can reach the log, and so may own partitions.
  std::vector<const Member*> eligible_owners() const;

  /// @return the member in any state, or null if unknown.
  const Member* find(const std::string& id) const;

  /// @return whether the member is alive or suspect.
  bool is_alive(const std::string& id) const;

  /// @return the time since which the member has been alive without interruption, if it is alive.
  std::optional<TimePoint> alive_since(const std::string& id) const;

  const Member& self() const { return self_; }
  /// @return whether this node has announced that it leaves.
  bool has_left() const { return left_; }

  /// @return all members in any state, this node included.
  std::vector<Member> all() const;

  /// @return the number of nodes, including this one, that report pending batch items.
  int nodes_with_pending_batch() const;

  /// Changes whenever the set of alive members may have changed.
  std::uint64_t version() const { return version_; }

  /// Builds a message of this node with piggybacked gossip.
  PeerMessage make_message(PeerMessageType type);

 private:
  struct Entry {
    Member member;
    TimePoint state_since;
    std::uint32_t pending_batch_items = 0;
    bool log_reachable = true;
  };
  struct Probe {
    std::string target;
    TimePoint started;
    bool helpers_asked = false;
  };
  /// A ping sent on behalf of another member.
  struct RelayedProbe {
    std::string requester_address;
    std::uint64_t requester_sequence = 0;
    TimePoint started;
  };
  struct Rumor {
    Member member;
    int sent = 0;
  };

  void start_probe(TimePoint now);
  void check_probe(TimePoint now);
  void ask_helpers(const Member& target);
  void expire_states(TimePoint now);
  void ping_candidate();
  void synchronize();
  /// Adds the record of `id` if it is not considered alive, so that it can refute this.
  void add_suspicion(const std::string& id, PeerMessage& message) const;
  void set_log_reachable(Entry& entry, bool reachable);
  void answer_sync(const std::string& address);
  void apply(const Member& update, TimePoint now);
  void refute(const Member& rumor);
  void set_state(Entry& entry, MemberState state, TimePoint now);
  void enqueue_update(const Member& member);
  std::vector<Member> next_rumors();
  void handle_ack(const PeerMessage& message);
  void handle_ping_request(const PeerMessage& message, TimePoint now);

  const Knobs knobs_;
  Member self_;
  bool left_ = false;
  TimePoint now_{};  ///< Of the last tick.
  std::mt19937_64 random_;
  PeerSender& sender_;

  std::map<std::string, Entry> members_;  ///< Without this node.
  std::set<std::string> candidates_;
  std::map<std::string, Rumor> rumors_;
  std::vector<std::string> probe_order_;
  std::optional<Probe> probe_;
  std::map<std::uint64_t, RelayedProbe> relayed_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t probe_sequence_ = 0;
  TimePoint next_probe_{};
  TimePoint next_sync_{};
  std::uint64_t configuration_revision_ = 0;
  std::uint32_t pending_batch_items_ = 0;
  bool log_reachable_ = true;
  std::uint64_t version_ = 1;
  /// Cached as of `alive_version_`, since it is read many times per second and rarely changes.
  mutable std::vector<const Member*> alive_;
  mutable std::uint64_t alive_version_ = 0;
};

}  // namespace dockpoint
