#include "support/fleet_replay.hpp"

#include <algorithm>
#include <cmath>

#include "support/fleet.hpp"

namespace dockpoint::test {
namespace {

constexpr const char* kService = "lm";

std::string zone_name(int number) {
  return "zone-" + std::to_string(number);
}

std::string node_name(int number) {
  return "n" + std::to_string(number);
}

}  // namespace

struct FleetReplay::Node {
  Node(const Knobs& knobs, int number, const std::string& zone, std::uint64_t seed)
      : directory(knobs),
        shares(knobs, node_name(number)),
        selector(knobs, directory, zone, seed) {}

  ReplicaDirectory directory;
  SlotShares shares;
  ReplicaSelector selector;
  bool alive = true;
  bool digests_lost = false;
};

double FleetOutcome::wait_quantile(double share) const {
  std::vector<double> sorted = waits;
  std::sort(sorted.begin(), sorted.end());
  const double place = share * static_cast<double>(sorted.size());
  return sorted.empty() ? 0 : sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(place))];
}

FleetReplay::FleetReplay(const FleetPattern& pattern, std::uint64_t seed, const Knobs& knobs)
    : pattern_(pattern), knobs_(knobs), random_(seed) {
  for (int number = 0; number < pattern.replicas; ++number) {
    const auto paces = static_cast<int>(pattern.paces.size());
    replicas_.push_back({"r" + std::to_string(number),
                         pattern.paces[static_cast<std::size_t>(number % paces)],
                         0,
                         false,
                         0,
                         {}});
  }
  std::vector<int> all;
  for (int number = 0; number < pattern.nodes; ++number) {
    const std::string zone = zone_name(number % pattern.zones);
    nodes_.push_back(std::make_unique<Node>(knobs_, number, zone,
                                            seed * 1'000 + static_cast<std::uint64_t>(number)));
    Node& node = *nodes_.back();
    for (int replica = 0; replica < pattern.replicas; ++replica) {
      ReplicaRecord record{replicas_[static_cast<std::size_t>(replica)].id,
                           kService,
                           {"10.0.0.1", 80},
                           zone_name(replica % pattern.zones),
                           pattern.slots,
                           false,
                           {}};
      record.software_version = version_of(replica);
      node.directory.upsert(record, at(0));
    }
    node.selector.note_service_time(
        kService, std::chrono::milliseconds(static_cast<std::int64_t>(pattern.service_ms)));
    if (pattern.slot_shares) {
      node.selector.use_slot_shares(node.shares);
    }
    all.push_back(number);
  }
  set_live_nodes(all);
}

FleetReplay::~FleetReplay() = default;

void FleetReplay::at_time(std::int64_t ms, std::function<void(FleetReplay&)> event) {
  events_.emplace(ms, std::move(event));
}

FleetOutcome FleetReplay::run(std::int64_t length_ms, std::int64_t from_ms) {
  for (std::int64_t now = 0; now < length_ms; ++now) {
    while (!events_.empty() && events_.begin()->first <= now) {
      events_.begin()->second(*this);
      events_.erase(events_.begin());
    }
    end_requests(now);
    change_paces(now);
    send_digests(now);
    deliver(now);
    const bool low = now % (pattern_.low_ms + pattern_.high_ms) < pattern_.low_ms;
    const double rate = pattern_.mean_per_second * (low ? pattern_.low : pattern_.high);
    std::poisson_distribution<int> arrivals(rate / 1'000);
    for (int left = arrivals(random_); left > 0; --left) {
      arrive(now, now >= from_ms);
    }
  }
  return outcome_;
}

void FleetReplay::set_live_nodes(const std::vector<int>& nodes) {
  std::vector<SlotHolder> holders;
  for (const int number : nodes) {
    holders.push_back({node_name(number), zone_name(number % pattern_.zones)});
  }
  for (const std::unique_ptr<Node>& node : nodes_) {
    node->shares.set_holders(holders);
  }
}

void FleetReplay::kill_node(int number) {
  nodes_[static_cast<std::size_t>(number)]->alive = false;
  for (Request& request : requests_) {
    request.cancelled = request.cancelled || request.node == number;
  }
}

void FleetReplay::drop_digests(int node, bool lost) {
  nodes_[static_cast<std::size_t>(node)]->digests_lost = lost;
}

void FleetReplay::change_paces(std::int64_t now) {
  if (pattern_.slowed_share <= 0) {
    return;
  }
  const double slowed = static_cast<double>(pattern_.slowed_ms);
  const double between = slowed * (1 - pattern_.slowed_share) / pattern_.slowed_share;
  for (Replica& replica : replicas_) {
    if (now < replica.changes_at) {
      continue;
    }
    replica.slowed = now > 0 && !replica.slowed;
    std::exponential_distribution<double> length(1 / (replica.slowed ? slowed : between));
    replica.changes_at = now + 1 + std::llround(length(random_));
  }
}

ReportedLoad FleetReplay::load_of(const Replica& replica) const {
  const double pace = replica.slowed ? pattern_.slowed_factor : 1;
  return {replica.running, static_cast<int>(replica.waiting.size()), pattern_.slots, pace, false};
}

void FleetReplay::send_digests(std::int64_t now) {
  std::uniform_int_distribution<std::int64_t> delay(pattern_.digest_delay_ms / 2,
                                                    pattern_.digest_delay_ms);
  for (int number = 0; number < nodes(); ++number) {
    Node& node = *nodes_[static_cast<std::size_t>(number)];
    // The digests of the nodes are staggered over the interval.
    if (node.alive && !node.digests_lost &&
        (now + number * pattern_.digest_ms / nodes()) % pattern_.digest_ms == 0) {
      node.directory.paces().update(at(now));
      digests_.push_back({now + delay(random_), number, node.directory.own_load(at(now)),
                          node.directory.paces().report(at(now))});
    }
  }
}

void FleetReplay::deliver(std::int64_t now) {
  for (auto digest = digests_.begin(); digest != digests_.end();) {
    if (digest->arrives > now) {
      ++digest;
      continue;
    }
    LoadDigest digest_received{node_key(node_name(digest->from)), 0, 0, true, 0, digest->entries};
    digest_received.paces = digest->paces;
    for (int number = 0; number < nodes(); ++number) {
      if (number != digest->from) {
        nodes_[static_cast<std::size_t>(number)]->directory.set_peer_loads({digest_received},
                                                                           at(now));
      }
    }
    digest = digests_.erase(digest);
  }
}

std::string FleetReplay::version_of(int replica) const {
  return replica >= pattern_.replicas - pattern_.second_version ? "v2" : "v1";
}

void FleetReplay::arrive(std::int64_t now, bool counted) {
  std::uniform_int_distribution<int> any_node(0, nodes() - 1);
  int number = any_node(random_);
  while (!nodes_[static_cast<std::size_t>(number)]->alive) {
    number = any_node(random_);
  }
  send_with_retries(number, now, counted);
}

void FleetReplay::send_with_retries(int number, std::int64_t now, bool counted) {
  Node& node = *nodes_[static_cast<std::size_t>(number)];
  ReplicaQuery query{kService, TrafficClass::kOnline, {{7, 100}, {8, 250}}, {}};
  // Drawn only where it matters, so that other replays keep their draws.
  const bool resumed =
      pattern_.resumed_share > 0 && std::bernoulli_distribution(pattern_.resumed_share)(random_);
  query.software_version = resumed ? "v2" : "";
  outcome_.resumed += counted && resumed ? 1 : 0;
  for (int sends = 0; sends < knobs_.maximum_sends_not_run; ++sends) {
    const ReplicaChoice choice = node.selector.choose(query, at(now));
    if (choice.replica == nullptr) {
      break;
    }
    const std::string id = choice.replica->record.id;
    const int place = std::stoi(id.substr(1));
    Replica& replica = replicas_[static_cast<std::size_t>(place)];
    if (pattern_.reject_when_full && replica.running >= pattern_.slots) {
      if (pattern_.replicas_report_load) {
        node.directory.report(id, load_of(replica), at(now));
      }
      node.directory.turned_away(id, at(now));
      query.excluded.insert(id);
      outcome_.turned_away += counted ? 1 : 0;
      continue;
    }
    node.directory.started(id, TrafficClass::kOnline, 0);
    requests_.push_back({number, place, now, now, counted, false});
    if (replica.running < pattern_.slots) {
      ++replica.running;
      serve(requests_.size() - 1, now);
    } else {
      replica.waiting.push_back(requests_.size() - 1);
    }
    return;
  }
  const bool room = std::any_of(replicas_.begin(), replicas_.end(), [&](const Replica& replica) {
    return replica.running < pattern_.slots;
  });
  outcome_.requests += counted ? 1 : 0;
  outcome_.refused += counted ? 1 : 0;
  outcome_.resumed_refused += counted && resumed ? 1 : 0;
  outcome_.refused_with_free_slots += counted && room ? 1 : 0;
}

void FleetReplay::serve(std::size_t number, std::int64_t now) {
  Request& request = requests_[number];
  request.began = now;
  const double wait = static_cast<double>(now - request.arrived);
  if (request.counted) {
    ++outcome_.requests;
    outcome_.waited += wait > 0 ? 1 : 0;
    outcome_.late += wait > static_cast<double>(pattern_.late_ms) ? 1 : 0;
    outcome_.waits.push_back(wait);
  }
  constexpr double kShortest = 0.3;
  std::normal_distribution<double> length(1, pattern_.service_spread);
  const Replica& replica = replicas_[static_cast<std::size_t>(request.replica)];
  const double pace = replica.pace * (replica.slowed ? pattern_.slowed_factor : 1);
  const double time = pattern_.service_ms * std::max(kShortest, length(random_)) * pace;
  if (pattern_.replicas_report_load) {
    nodes_[static_cast<std::size_t>(request.node)]->directory.report(replica.id, load_of(replica),
                                                                     at(now));
  }
  ends_.push({now + std::llround(time), number});
}

void FleetReplay::end_requests(std::int64_t now) {
  while (!ends_.empty() && ends_.top().at <= now) {
    const Request& request = requests_[ends_.top().request];
    ends_.pop();
    Node& node = *nodes_[static_cast<std::size_t>(request.node)];
    const std::string& id = replicas_[static_cast<std::size_t>(request.replica)].id;
    node.directory.ended(id, TrafficClass::kOnline);
    if (pattern_.learn_paces) {
      // The samples still contain the variation of the request lengths, so they are a less precise
      // measure of the pace than the events of a real stream.
      const auto step = std::chrono::microseconds((now - request.began) * 50);
      node.directory.paces().observed(node.directory.find(id)->key, PaceSample::kEvent, step,
                                      at(now));
    }
    leave_slot(request.replica, now);
  }
}

void FleetReplay::leave_slot(int place, std::int64_t now) {
  Replica& replica = replicas_[static_cast<std::size_t>(place)];
  while (!replica.waiting.empty()) {
    const std::size_t next = replica.waiting.front();
    replica.waiting.pop_front();
    if (!requests_[next].cancelled) {
      serve(next, now);
      return;
    }
  }
  --replica.running;
}

}  // namespace dockpoint::test
