#include "dockpoint/membership/membership.hpp"

#include <algorithm>
#include <bit>

namespace dockpoint {

Membership::Membership(const Knobs& knobs, Member self, std::uint64_t seed, PeerSender& sender)
    : knobs_(knobs), self_(std::move(self)), random_(seed), sender_(sender) {
  self_.run = self_.incarnation;
}

void Membership::set_candidates(const std::vector<std::string>& peer_addresses) {
  candidates_ = {peer_addresses.begin(), peer_addresses.end()};
  candidates_.erase(self_.peer_address);
}

void Membership::tick(TimePoint now) {
  now_ = now;
  if (left_) {
    return;
  }
  check_probe(now);
  expire_states(now);
  if (now >= next_probe_) {
    next_probe_ = now + knobs_.probe_interval;
    start_probe(now);
    ping_candidate();
  }
  if (now >= next_sync_) {
    next_sync_ = now + knobs_.sync_interval;
    synchronize();
  }
}

void Membership::receive(const PeerMessage& message, TimePoint now) {
  if (message.sender.id == self_.id) {
    return;
  }
  apply(message.sender, now);
  for (const Member& update : message.updates) {
    apply(update, now);
  }
  const auto sender = members_.find(message.sender.id);
  if (sender != members_.end()) {
    sender->second.pending_batch_items = message.pending_batch_items;
    set_log_reachable(sender->second, message.log_reachable);
  }
  switch (message.type) {
    case PeerMessageType::kPing: {
      PeerMessage ack = make_message(PeerMessageType::kAck);
      ack.sequence = message.sequence;
      add_suspicion(message.sender.id, ack);
      sender_.send(message.sender.peer_address, ack);
      break;
    }
    case PeerMessageType::kAck:
      handle_ack(message);
      break;
    case PeerMessageType::kPingRequest:
      handle_ping_request(message, now);
      break;
    case PeerMessageType::kSyncRequest:
      answer_sync(message.sender.peer_address);
      break;
    case PeerMessageType::kSyncResponse:
    case PeerMessageType::kLoadDigest:
    case PeerMessageType::kLoadToRoot:
    case PeerMessageType::kLeave:
      break;
  }
}

void Membership::leave() {
  left_ = true;
  self_.state = MemberState::kLeft;
  ++version_;
  PeerMessage message = make_message(PeerMessageType::kLeave);
  message.updates = {self_};
  for (const auto& [id, entry] : members_) {
    const bool still_answers = entry.member.state == MemberState::kLeft &&
                               now_ - entry.state_since < knobs_.departed_notice_time;
    if (entry.member.state <= MemberState::kSuspect || still_answers) {
      sender_.send(entry.member.peer_address, message);
    }
  }
}

const std::vector<const Member*>& Membership::alive() const {
  if (alive_version_ == version_) {
    return alive_;
  }
  alive_version_ = version_;
  alive_.clear();
  if (!left_) {
    alive_.push_back(&self_);
  }
  for (const auto& [id, entry] : members_) {
    if (entry.member.state <= MemberState::kSuspect) {
      alive_.push_back(&entry.member);
    }
  }
  return alive_;
}

const Member* Membership::find(const std::string& id) const {
  if (id == self_.id) {
    return &self_;
  }
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second.member;
}

bool Membership::is_alive(const std::string& id) const {
  const Member* member = find(id);
  return member != nullptr && member->state <= MemberState::kSuspect;
}

std::optional<TimePoint> Membership::alive_since(const std::string& id) const {
  if (id == self_.id) {
    return TimePoint{};
  }
  const auto found = members_.find(id);
  if (found == members_.end() || found->second.member.state != MemberState::kAlive) {
    return std::nullopt;
  }
  return found->second.state_since;
}

std::vector<Member> Membership::all() const {
  std::vector<Member> found{self_};
  for (const auto& [id, entry] : members_) {
    found.push_back(entry.member);
  }
  return found;
}

int Membership::nodes_with_pending_batch() const {
  int nodes = pending_batch_items_ > 0 ? 1 : 0;
  for (const auto& [id, entry] : members_) {
    const bool counts = entry.member.state == MemberState::kAlive && entry.pending_batch_items > 0;
    nodes += counts ? 1 : 0;
  }
  return nodes;
}

PeerMessage Membership::make_message(PeerMessageType type) {
  PeerMessage message;
  message.type = type;
  message.sender = self_;
  message.updates = next_rumors();
  message.configuration_revision = configuration_revision_;
  message.pending_batch_items = pending_batch_items_;
  message.log_reachable = log_reachable_;
  return message;
}

std::vector<const Member*> Membership::eligible_owners() const {
  std::vector<const Member*> found;
  if (!left_ && log_reachable_) {
    found.push_back(&self_);
  }
  for (const auto& [id, entry] : members_) {
    if (entry.member.state <= MemberState::kSuspect && entry.log_reachable) {
      found.push_back(&entry.member);
    }
  }
  return found;
}

void Membership::set_log_reachable(bool reachable) {
  version_ += log_reachable_ == reachable ? 0 : 1;
  log_reachable_ = reachable;
}

void Membership::set_log_reachable(Entry& entry, bool reachable) {
  version_ += entry.log_reachable == reachable ? 0 : 1;
  entry.log_reachable = reachable;
}

void Membership::start_probe(TimePoint now) {
  while (true) {
    if (probe_order_.empty()) {
      for (const auto& [id, entry] : members_) {
        if (entry.member.state <= MemberState::kSuspect) {
          probe_order_.push_back(id);
        }
      }
      std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
    if (probe_order_.empty()) {
      return;
    }
    const std::string target = probe_order_.back();
    probe_order_.pop_back();
    if (!is_alive(target)) {
      continue;
    }
    probe_sequence_ = next_sequence_++;
    probe_ = Probe{target, now, false};
    PeerMessage ping = make_message(PeerMessageType::kPing);
    ping.sequence = probe_sequence_;
    add_suspicion(target, ping);
    sender_.send(members_.at(target).member.peer_address, ping);
    return;
  }
}

void Membership::check_probe(TimePoint now) {
  if (!probe_) {
    return;
  }
  const auto target = members_.find(probe_->target);
  if (target == members_.end() || target->second.member.state > MemberState::kSuspect) {
    probe_.reset();
    return;
  }
  if (!probe_->helpers_asked && now >= probe_->started + knobs_.probe_timeout) {
    probe_->helpers_asked = true;
    ask_helpers(target->second.member);
  }
  if (now >= probe_->started + knobs_.probe_interval) {
    if (target->second.member.state == MemberState::kAlive) {
      set_state(target->second, MemberState::kSuspect, now);
    }
    probe_.reset();
  }
}

void Membership::ask_helpers(const Member& target) {
  std::vector<const Member*> others;
  for (const auto& [id, entry] : members_) {
    if (id != target.id && entry.member.state == MemberState::kAlive) {
      others.push_back(&entry.member);
    }
  }
  std::shuffle(others.begin(), others.end(), random_);
  if (others.size() > static_cast<std::size_t>(knobs_.probe_helpers)) {
    others.resize(static_cast<std::size_t>(knobs_.probe_helpers));
  }
  for (const Member* helper : others) {
    PeerMessage request = make_message(PeerMessageType::kPingRequest);
    request.sequence = probe_sequence_;
    request.target = target;
    sender_.send(helper->peer_address, request);
  }
}

void Membership::expire_states(TimePoint now) {
  for (auto iterator = members_.begin(); iterator != members_.end();) {
    Entry& entry = iterator->second;
    const Duration age = now - entry.state_since;
    if (entry.member.state == MemberState::kSuspect && age >= knobs_.suspicion_time) {
      set_state(entry, MemberState::kDead, now);
    }
    const bool gone = entry.member.state >= MemberState::kDead && age >= knobs_.dead_retention;
    iterator = gone ? members_.erase(iterator) : std::next(iterator);
  }
  std::erase_if(relayed_, [&](const auto& relayed) {
    return now - relayed.second.started >= knobs_.probe_interval;
  });
}

void Membership::ping_candidate() {
  std::vector<std::string> unknown;
  for (const std::string& address : candidates_) {
    const bool alive = std::any_of(members_.begin(), members_.end(), [&](const auto& item) {
      return item.second.member.peer_address == address &&
             item.second.member.state <= MemberState::kSuspect;
    });
    if (!alive) {
      unknown.push_back(address);
    }
  }
  if (unknown.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> pick(0, unknown.size() - 1);
  const std::string& address = unknown[pick(random_)];
  PeerMessage request = make_message(PeerMessageType::kSyncRequest);
  for (const auto& [id, entry] : members_) {
    if (entry.member.peer_address == address) {
      add_suspicion(id, request);
    }
  }
  sender_.send(address, request);
}

void Membership::add_suspicion(const std::string& id, PeerMessage& message) const {
  const auto found = members_.find(id);
  if (found != members_.end() && found->second.member.state != MemberState::kAlive) {
    message.updates.push_back(found->second.member);
  }
}

void Membership::synchronize() {
  std::vector<const Member*> others;
  for (const auto& [id, entry] : members_) {
    if (entry.member.state == MemberState::kAlive) {
      others.push_back(&entry.member);
    }
  }
  if (others.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> pick(0, others.size() - 1);
  sender_.send(others[pick(random_)]->peer_address, make_message(PeerMessageType::kSyncRequest));
}

void Membership::answer_sync(const std::string& address) {
  std::vector<Member> part;
  const auto flush = [&] {
    PeerMessage response = make_message(PeerMessageType::kSyncResponse);
    response.updates = std::move(part);
    part.clear();
    sender_.send(address, response);
  };
  for (const auto& [id, entry] : members_) {
    part.push_back(entry.member);
    if (part.size() == knobs_.sync_members_per_message) {
      flush();
    }
  }
  flush();
}

void Membership::apply(const Member& update, TimePoint now) {
  if (update.id.empty()) {
    return;
  }
  if (update.id == self_.id) {
    refute(update);
    return;
  }
  const auto known = members_.find(update.id);
  if (known == members_.end()) {
    if (update.state == MemberState::kLeft) {
      // Keeps outdated records of others from showing the member as alive.
      members_[update.id] = Entry{update, now};
    }
    if (update.state >= MemberState::kDead) {
      return;
    }
    members_[update.id] = Entry{update, now};
    ++version_;
    enqueue_update(update);
    return;
  }
  Entry& entry = known->second;
  if (!supersedes(update, entry.member)) {
    return;
  }
  const bool state_changes = update.state != entry.member.state;
  const bool capabilities_change = update.capabilities != entry.member.capabilities;
  entry.member = update;
  if (state_changes) {
    entry.state_since = now;
  }
  version_ += state_changes || capabilities_change ? 1 : 0;
  enqueue_update(update);
}

void Membership::refute(const Member& rumor) {
  if (left_ || rumor.state == MemberState::kAlive || rumor.incarnation < self_.incarnation) {
    return;
  }
  self_.incarnation = rumor.incarnation + 1;
  enqueue_update(self_);
}

void Membership::set_state(Entry& entry, MemberState state, TimePoint now) {
  entry.member.state = state;
  entry.state_since = now;
  ++version_;
  enqueue_update(entry.member);
}

void Membership::enqueue_update(const Member& member) {
  rumors_[member.id] = Rumor{member, 0};
}

std::vector<Member> Membership::next_rumors() {
  std::vector<Rumor*> pending;
  for (auto& [id, rumor] : rumors_) {
    pending.push_back(&rumor);
  }
  std::stable_sort(pending.begin(), pending.end(),
                   [](const Rumor* left, const Rumor* right) { return left->sent < right->sent; });
  if (pending.size() > knobs_.updates_per_message) {
    pending.resize(knobs_.updates_per_message);
  }
  std::vector<Member> chosen;
  for (Rumor* rumor : pending) {
    ++rumor->sent;
    chosen.push_back(rumor->member);
  }
  const int limit =
      knobs_.update_retransmissions * static_cast<int>(std::bit_width(members_.size() + 1));
  std::erase_if(rumors_, [limit](const auto& item) { return item.second.sent >= limit; });
  return chosen;
}

void Membership::handle_ack(const PeerMessage& message) {
  const auto relayed = relayed_.find(message.sequence);
  if (relayed != relayed_.end()) {
    PeerMessage ack = make_message(PeerMessageType::kAck);
    ack.sequence = relayed->second.requester_sequence;
    ack.updates.push_back(message.sender);
    sender_.send(relayed->second.requester_address, ack);
    relayed_.erase(relayed);
    return;
  }
  if (!probe_ || message.sequence != probe_sequence_) {
    return;
  }
  probe_.reset();
}

void Membership::handle_ping_request(const PeerMessage& message, TimePoint now) {
  const std::uint64_t sequence = next_sequence_++;
  relayed_[sequence] = RelayedProbe{message.sender.peer_address, message.sequence, now};
  PeerMessage ping = make_message(PeerMessageType::kPing);
  ping.sequence = sequence;
  sender_.send(message.target.peer_address, ping);
}

}  // namespace dockpoint
