#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "dockpoint/routing/replica_selector.hpp"

namespace dockpoint::test {

/// Load on a fleet: online requests whose rate steps between two levels.
struct FleetPattern {
  int nodes = 73;
  int replicas = 89;
  int slots = 8;
  int zones = 3;
  double mean_per_second = 323;
  double low = 0.383;  ///< Of the mean rate, for `low_ms`; then
  double high = 1.87;  ///< for `high_ms`; and so on.
  std::int64_t low_ms = 3'400;
  std::int64_t high_ms = 2'400;
  double service_ms = 730;       ///< That a request holds a slot, in the mean.
  double service_spread = 0.25;  ///< Standard deviation, of the mean.
  std::vector<double> paces{1};  ///< Of the replicas, in turn: 2 takes twice as long.
  double slowed_share = 0;       ///< Of the time a replica is slowed
  double slowed_factor = 2.5;    ///< so many times,
  std::int64_t slowed_ms = 600;  ///< for so long in the mean.
  bool learn_paces = true;
  bool replicas_report_load = false;   ///< Replicas state their load in answers, and how much they
                                       ///< are slowed.
  bool reject_when_full = false;       ///< Full replicas turn requests away: there is no queue.
  std::int64_t digest_ms = 200;        ///< Between the digests of a node.
  std::int64_t digest_delay_ms = 200;  ///< Until the others have it, at most; half of it at least.
  std::int64_t late_ms = 250;          ///< A request that waits longer for its slot is late.
  bool slot_shares = true;
};

/// What became of the requests of a replay.
struct FleetOutcome {
  int requests = 0;
  int late = 0;
  int waited = 0;                   ///< For a slot, however short.
  std::vector<double> waits;        ///< In ms.
  int turned_away = 0;              ///< Attempts, by a replica that was full.
  int refused = 0;                  ///< Requests, by all replicas that were tried,
  int refused_with_free_slots = 0;  ///< and that while a replica had a free slot.

  double late_share() const { return requests == 0 ? 0 : static_cast<double>(late) / requests; }
  /// @return the wait that so large a share of the requests stays below.
  double wait_quantile(double share) const;
};

/// Replays load through the real choice of replicas, at replicas that serve in order of arrival.
///
/// Each node has a directory and a selector of its own; it knows its own requests exactly and those
/// of the others from digests, late. A node may be taken away in the middle of a replay, and views
/// of who is there may differ.
class FleetReplay {
 public:
  FleetReplay(const FleetPattern& pattern, std::uint64_t seed, const Knobs& knobs = {});
  ~FleetReplay();

  /// Something that happens at a time of the replay.
  void at_time(std::int64_t ms, std::function<void(FleetReplay&)> event);
  /// @return what became of the requests that came from `from_ms` on.
  FleetOutcome run(std::int64_t length_ms, std::int64_t from_ms = 0);

  /// The node gets no more requests and tells nothing; its requests end at once. Others do not know
  /// until `set_known`.
  void kill_node(int node);
  /// The other nodes learn that a node is gone, or is there again.
  void set_live_nodes(const std::vector<int>& nodes);
  /// Digests of the node are lost from now on, or arrive again.
  void drop_digests(int node, bool lost);
  int nodes() const { return static_cast<int>(nodes_.size()); }

 private:
  struct Node;
  struct Replica {
    std::string id;
    double pace = 1;
    int running = 0;
    bool slowed = false;
    std::int64_t changes_at = 0;      ///< When it is slowed, or no longer.
    std::deque<std::size_t> waiting;  ///< Requests.
  };
  struct Request {
    int node = 0;
    int replica = 0;
    std::int64_t arrived = 0;
    std::int64_t began = 0;
    bool counted = false;
    bool cancelled = false;
  };
  struct Digest {
    std::int64_t arrives = 0;
    int from = 0;
    std::vector<LoadDigestEntry> entries;
    std::vector<PaceEntry> paces;
  };
  struct End {
    std::int64_t at = 0;
    std::size_t request = 0;
    friend bool operator>(const End& left, const End& right) { return left.at > right.at; }
  };

  void change_paces(std::int64_t now);
  void send_digests(std::int64_t now);
  void deliver(std::int64_t now);
  void arrive(std::int64_t now, bool counted);
  /// Sends a request to another replica until one takes it.
  void send_with_retries(int node, std::int64_t now, bool counted);
  /// @return the load header of an answer.
  ReportedLoad load_of(const Replica& replica) const;
  void serve(std::size_t request, std::int64_t now);
  void end_requests(std::int64_t now);
  void leave_slot(int replica, std::int64_t now);

  const FleetPattern pattern_;
  const Knobs knobs_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Replica> replicas_;
  std::vector<Request> requests_;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends_;
  std::deque<Digest> digests_;
  std::multimap<std::int64_t, std::function<void(FleetReplay&)>> events_;
  FleetOutcome outcome_;
};

}  // namespace dockpoint::test
