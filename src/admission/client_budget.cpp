#include "dockpoint/admission/client_budget.hpp"

#include <algorithm>

namespace dockpoint {

ClientLimits limits_for(const MachineResources& machine) {
  constexpr std::uint64_t kBufferShare = 4;  // One part in so many of the memory.
  ClientLimits limits;
  if (machine.memory_bytes > 0) {
    limits.buffer_bytes = std::min(limits.buffer_bytes, machine.memory_bytes / kBufferShare);
  }
  limits.connections = machine.descriptors / 4 * 3;
  return limits;
}

std::string_view name_of(ClientState state) {
  switch (state) {
    case ClientState::kRefused:
      return "refused";
    case ClientState::kNew:
      return "new";
    case ClientState::kIdle:
      return "idle";
    case ClientState::kSending:
      return "sending";
    case ClientState::kReceiving:
      return "receiving";
    case ClientState::kPipelining:
      return "pipelining";
    case ClientState::kProcessing:
      return "processing";
  }
  return "unknown";
}

ClientBudget::Rank ClientBudget::rank_of(ClientState state, std::uint64_t bytes) {
  switch (state) {
    case ClientState::kRefused:
      return Rank::kRefused;
    case ClientState::kNew:
      return Rank::kNew;
    case ClientState::kIdle:
      return Rank::kIdle;
    case ClientState::kProcessing:
      return Rank::kProcessing;
    case ClientState::kSending:
    case ClientState::kReceiving:
    case ClientState::kPipelining:
      break;
  }
  return bytes > kConnectionBytes + kSmallBytes ? Rank::kLarge : Rank::kSmall;
}

ClientId ClientBudget::add() {
  const ClientId id = ++last_id_;
  Client& client = clients_[id];
  bytes_ += client.bytes;
  client.progress = ++last_progress_;
  enqueue(id, client);
  return id;
}

void ClientBudget::remove(ClientId id) {
  const auto found = clients_.find(id);
  if (found == clients_.end()) {
    return;
  }
  dequeue(found->second);
  bytes_ -= found->second.bytes;
  clients_.erase(found);
}

void ClientBudget::update(ClientId id, ClientState state, std::uint64_t bytes) {
  const auto found = clients_.find(id);
  if (found == clients_.end()) {
    return;
  }
  Client& client = found->second;
  const std::uint64_t held = kConnectionBytes + bytes;
  if (client.state == state && client.bytes == held) {
    return;
  }
  dequeue(client);
  bytes_ += held - client.bytes;
  client.bytes = held;
  if (client.state != state) {
    client.state = state;
    client.transferred = 0;
    client.progress = ++last_progress_;
  }
  enqueue(id, client);
}

void ClientBudget::transferred(ClientId id, std::uint64_t bytes) {
  const auto found = clients_.find(id);
  if (found == clients_.end()) {
    return;
  }
  Client& client = found->second;
  client.transferred += bytes;
  if (client.transferred < kProgressBytes) {
    return;
  }
  client.transferred = 0;
  dequeue(client);
  client.progress = ++last_progress_;
  enqueue(id, client);
}

void ClientBudget::enqueue(ClientId id, Client& client) {
  client.rank = rank_of(client.state, client.bytes);
  queue(client.rank).emplace(client.progress, id);
  processing_bytes_ += client.rank == Rank::kProcessing ? client.bytes : 0;
}

void ClientBudget::dequeue(const Client& client) {
  queue(client.rank).erase(client.progress);
  processing_bytes_ -= client.rank == Rank::kProcessing ? client.bytes : 0;
}

bool ClientBudget::may_process(std::uint64_t bytes) const {
  const bool small = bytes <= kSmallBytes;
  const std::uint64_t reserved = small ? 0 : limits_.buffer_bytes / kSmallRequestsShare;
  return processing_bytes_ + kConnectionBytes + bytes <= limits_.buffer_bytes - reserved;
}

std::optional<ClientId> ClientBudget::excess_buffer() const {
  if (bytes_ <= limits_.buffer_bytes) {
    return std::nullopt;
  }
  for (const Rank rank : {Rank::kLarge, Rank::kRefused, Rank::kNew, Rank::kSmall, Rank::kIdle}) {
    if (!queue(rank).empty()) {
      return queue(rank).begin()->second;
    }
  }
  return std::nullopt;
}

std::optional<ClientId> ClientBudget::replaceable_connection() const {
  for (const Rank rank : {Rank::kRefused, Rank::kNew, Rank::kIdle}) {
    if (!queue(rank).empty()) {
      return queue(rank).begin()->second;
    }
  }
  const Queue& large = queue(Rank::kLarge);
  const Queue& small = queue(Rank::kSmall);
  if (large.empty() || small.empty()) {
    return large.empty() && small.empty()
               ? std::nullopt
               : std::optional(large.empty() ? small.begin()->second : large.begin()->second);
  }
  return (large.begin()->first < small.begin()->first ? large : small).begin()->second;
}

}  // namespace dockpoint
