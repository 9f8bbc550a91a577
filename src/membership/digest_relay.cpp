#include "dockpoint/membership/digest_relay.hpp"

#include <algorithm>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {
namespace {

constexpr std::size_t kTrees = 8;
constexpr std::size_t kChildren = 2;
/// Digests per datagram; leaves space for gossip.
constexpr std::size_t kDigestsPerMessage = 96;
/// Size of one digest on the wire, including its share of the envelope.
constexpr std::size_t kBytesPerDigest = 26;

}  // namespace

DigestRelay::DigestRelay(const Knobs& knobs, Membership& membership, PeerSender& sender)
    : knobs_(knobs), membership_(membership), sender_(sender), collected_(kTrees) {}

Duration DigestRelay::interval(std::size_t engines) const {
  const auto bytes = static_cast<double>(engines * kBytesPerDigest);
  const auto needed = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(bytes / knobs_.load_digest_bytes_per_second));
  return std::max(knobs_.load_digest_interval, needed);
}

void DigestRelay::publish(const std::vector<EngineDigest>& digests) {
  rebuild_trees();
  std::map<Tree, std::vector<EngineDigest>> by_tree;
  for (const EngineDigest& digest : digests) {
    by_tree[tree_of(digest)].push_back(digest);
  }
  for (const auto& [tree, own] : by_tree) {
    if (positions_[tree] == 0) {
      for (const EngineDigest& digest : own) {
        collect(tree, digest);
      }
    } else {
      send(trees_[tree].front(), PeerMessageType::kLoadToRoot, tree, own);
    }
  }
}

void DigestRelay::receive(const PeerMessage& message) {
  if (message.tree >= kTrees || message.digests.empty()) {
    return;
  }
  rebuild_trees();
  if (message.type == PeerMessageType::kLoadToRoot) {
    for (const EngineDigest& digest : message.digests) {
      collect(message.tree, digest);
    }
  } else if (message.type == PeerMessageType::kLoadDigest) {
    send_to_children(message.tree, message.digests);
  }
}

void DigestRelay::tick(std::size_t engines, TimePoint now) {
  if (now < next_flush_) {
    return;
  }
  next_flush_ = now + interval(engines);
  rebuild_trees();
  for (Tree tree = 0; tree < kTrees; ++tree) {
    std::vector<EngineDigest> digests;
    for (const auto& [key, load] : collected_[tree]) {
      digests.push_back({key, load});
    }
    collected_[tree].clear();
    send_to_children(tree, digests);
  }
}

void DigestRelay::rebuild_trees() {
  if (!trees_.empty() && members_version_ == membership_.version()) {
    return;
  }
  members_version_ = membership_.version();
  trees_.assign(kTrees, {});
  positions_.assign(kTrees, 0);
  for (Tree tree = 0; tree < kTrees; ++tree) {
    std::vector<std::string>& order = trees_[tree];
    for (const Member* member : membership_.alive()) {
      order.push_back(member->id);
    }
    const auto rank = [tree](const std::string& id) { return hash64(id, tree + 1); };
    std::sort(order.begin(), order.end(), [&](const std::string& left, const std::string& right) {
      return rank(left) < rank(right);
    });
    const auto self = std::find(order.begin(), order.end(), membership_.self().id);
    positions_[tree] = static_cast<std::size_t>(self - order.begin());
  }
}

DigestRelay::Tree DigestRelay::tree_of(const EngineDigest& digest) const {
  return static_cast<Tree>(digest.engine_key % kTrees);
}

void DigestRelay::collect(Tree tree, const EngineDigest& digest) {
  EngineLoad& known = collected_[tree].try_emplace(digest.engine_key, digest.load).first->second;
  if (digest.load.newer_than(known)) {
    known = digest.load;
  }
}

void DigestRelay::send_to_children(Tree tree, const std::vector<EngineDigest>& digests) {
  if (digests.empty()) {
    return;
  }
  const std::size_t first_child = kChildren * positions_[tree] + 1;
  for (std::size_t child = first_child; child < first_child + kChildren; ++child) {
    if (child < trees_[tree].size()) {
      send(trees_[tree][child], PeerMessageType::kLoadDigest, tree, digests);
    }
  }
}

void DigestRelay::send(const std::string& member, PeerMessageType type, Tree tree,
                       const std::vector<EngineDigest>& digests) {
  const Member* receiver = membership_.find(member);
  if (receiver == nullptr) {
    return;
  }
  for (std::size_t begin = 0; begin < digests.size(); begin += kDigestsPerMessage) {
    const std::size_t end = std::min(digests.size(), begin + kDigestsPerMessage);
    PeerMessage message = membership_.make_message(type);
    message.updates
        .clear();  // Gossip is piggybacked on probes; here it would be larger than the digests.
    message.tree = tree;
    message.digests = {digests.begin() + static_cast<std::ptrdiff_t>(begin),
                       digests.begin() + static_cast<std::ptrdiff_t>(end)};
    sender_.send(receiver->peer_address, message);
  }
}

}  // namespace dockpoint
