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

/// Simulated fleet and its load: online requests whose rate alternates between two levels.
struct FleetPattern {
  int nodes = 73;
  int replicas = 89;
  int slots = 8;
  int zones = 3;
  double mean_per_second = 323;
  double low = 0.383;  ///< Rate relative to the mean, for `low_ms`.
  double high = 1.87;  ///< Rate relative to the mean, for `high_ms`; the two alternate.
  std::int64_t low_ms = 3'400;
  std::int64_t high_ms = 2'400;
  double service_ms = 730;       ///< Mean time for which a request holds a slot.
  double service_spread = 0.25;  ///< Standard deviation, relative to the mean.
  std::vector<double> paces{1};  ///< Of the replicas, in rotation: 2 takes twice as long.
  double slowed_share = 0;       ///< Share of the time for which a replica is slowed.
  double slowed_factor = 2.5;    ///< Factor on the service time of a slowed replica.
  std::int64_t slowed_ms = 600;  ///< Mean length of a slowdown.
  bool learn_paces = true;
  /// Replicas report their load, and the factor by which they are slowed, in answers.
  bool replicas_report_load = false;
  /// Full replicas reject requests instead of queueing them.
  bool reject_when_full = false;
  std::int64_t digest_ms = 200;        ///< Interval between the digests of a node.
  std::int64_t digest_delay_ms = 200;  ///< Maximum delay of a digest; the minimum is half of it.
  std::int64_t late_ms = 250;          ///< A request that waits longer for its slot counts as late.
  bool slot_shares = true;
  int second_version = 0;    ///< Replicas of a second software version, the last ones.
  double resumed_share = 0;  ///< Share of the requests that only the second version can serve.
};

/// Counters of a replay.
struct FleetOutcome {
  int requests = 0;
  int late = 0;
  int waited = 0;                   ///< Requests that waited for a slot for any time.
  std::vector<double> waits;        ///< Time until a slot was assigned, in ms.
  int turned_away = 0;              ///< Attempts that a full replica rejected.
  int refused = 0;                  ///< Requests that no attempted replica accepted.
  int refused_with_free_slots = 0;  ///< Refused requests while a replica had a free slot.
  int resumed = 0;                  ///< Requests that only the second version can serve.
  int resumed_refused = 0;          ///< Those among `refused`.

  double late_share() const { return requests == 0 ? 0 : static_cast<double>(late) / requests; }
  /// @return the quantile of the waits at `share`, in ms.
  double wait_quantile(double share) const;
};

/// Replays load through the production replica selector against simulated first-come first-served
/// replicas.
///
/// Each node has its own directory and selector; it knows its own requests exactly and those of the
/// others from delayed digests. A node may be killed during a replay, and its death may become
/// known to the others later.
class FleetReplay {
 public:
  FleetReplay(const FleetPattern& pattern, std::uint64_t seed, const Knobs& knobs = {});
  ~FleetReplay();

  /// Schedules an event at a time of the replay.
  void at_time(std::int64_t ms, std::function<void(FleetReplay&)> event);
  /// Runs the replay.
  /// @return counters of the requests that arrived from `from_ms` on.
  FleetOutcome run(std::int64_t length_ms, std::int64_t from_ms = 0);

  /// Kills a node: it receives no more requests, sends no digests, and its waiting requests are
  /// cancelled. The others do not know of it until `set_live_nodes`.
  void kill_node(int node);
  /// Sets the nodes that all nodes consider alive.
  void set_live_nodes(const std::vector<int>& nodes);
  /// Starts or stops the loss of the digests that a node sends.
  void drop_digests(int node, bool lost);
  int nodes() const { return static_cast<int>(nodes_.size()); }

 private:
  struct Node;
  struct Replica {
    std::string id;
    double pace = 1;
    int running = 0;
    bool slowed = false;
    std::int64_t changes_at = 0;      ///< Time of the next start or end of a slowdown.
    std::deque<std::size_t> waiting;  ///< Queued requests, as indexes into `requests_`.
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
  /// Sends a request to one replica after another until one accepts it.
  void send_with_retries(int node, std::int64_t now, bool counted);
  /// @return the software version of a replica.
  std::string version_of(int replica) const;
  /// @return the load that a replica reports in its answers.
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
