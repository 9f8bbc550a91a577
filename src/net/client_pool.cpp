#include "net/client_pool.hpp"

#include <boost/asio/post.hpp>

#include "net/http_server.hpp"

namespace dockpoint::net {
ClientPool::ClientPool(boost::asio::io_context& loop, const ClientLimits& limits)
    : loop_(loop), budget_(limits) {}

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
      observer_(connection->state(), connection->held_bytes());
    }
    connection->give_way();
  }
}

}  // namespace dockpoint::net
