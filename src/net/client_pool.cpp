#include "net/client_pool.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/post.hpp>

#include "net/http_server.hpp"

namespace dockpoint::net {
namespace {

/// Connections where the number of descriptors has no limit.
constexpr std::size_t kMaximumConnections = 1'000'000;

/// The rest of the descriptors is kept for replicas, the log, peers and files.
ClientLimits with_connection_limit(ClientLimits limits) {
  if (limits.connections > 0) {
    return limits;
  }
  limits.connections = kMaximumConnections;
  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur != RLIM_INFINITY) {
    const std::size_t share = descriptors.rlim_cur / 4 * 3;
    limits.connections = std::clamp<std::size_t>(share, 1, kMaximumConnections);
  }
  return limits;
}

}  // namespace

ClientPool::ClientPool(boost::asio::io_context& loop, const ClientLimits& limits)
    : loop_(loop), budget_(with_connection_limit(limits)) {}

bool ClientPool::make_room() {
  if (budget_.full()) {
    release_connection();
  }
  return !budget_.full();
}

void ClientPool::release_connection() {
  const std::optional<ClientId> id = budget_.replaceable_connection();
  if (!id) {
    return;
  }
  ServerConnection* connection = connections_.at(*id);
  if (observer_) {
    observer_(EvictionReason::kConnections, connection->state(), connection->held_bytes());
  }
  connection->evict();
}

ClientId ClientPool::add(ServerConnection& connection) {
  const ClientId id = budget_.add();
  connections_.emplace(id, &connection);
  return id;
}

void ClientPool::remove(ClientId id) {
  budget_.remove(id);
  connections_.erase(id);
}

void ClientPool::update(ClientId id, ClientState state, std::uint64_t bytes) {
  budget_.update(id, state, bytes);
  // A connection may be the caller, or the caller's caller: it must not be closed from here.
  if (!eviction_posted_ && budget_.excess_buffer()) {
    eviction_posted_ = true;
    boost::asio::post(loop_, handlers_.wrap([this] { evict_excess(); }));
  }
}

void ClientPool::evict_excess() {
  eviction_posted_ = false;
  while (const std::optional<ClientId> id = budget_.excess_buffer()) {
    ServerConnection* connection = connections_.at(*id);
    if (observer_) {
      observer_(EvictionReason::kBuffers, connection->state(), connection->held_bytes());
    }
    connection->give_way();
  }
}

}  // namespace dockpoint::net
