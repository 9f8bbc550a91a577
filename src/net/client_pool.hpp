#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <unordered_map>

#include "dockpoint/admission/client_budget.hpp"
#include "dockpoint/core/life.hpp"

namespace dockpoint::net {

class ServerConnection;

/// Why a client's connection was closed.
enum class EvictionReason {
  kBuffers,      ///< All clients together hold too many bytes.
  kConnections,  ///< A new connection takes its place.
};

/// The clients of one or several servers, which share the limits of a `ClientBudget`.
/// Single-threaded.
class ClientPool {
 public:
  /// Called before a connection is closed because of the limits.
  using EvictionObserver =
      std::function<void(EvictionReason reason, ClientState state, std::uint64_t held_bytes)>;

  ClientPool(boost::asio::io_context& loop, const ClientLimits& limits);

  void on_eviction(EvictionObserver observer) { observer_ = std::move(observer); }
  void set_buffer_bytes(std::uint64_t bytes) { budget_.set_buffer_bytes(bytes); }
  const ClientBudget& budget() const { return budget_; }

  /// Closes another connection if there is no room for a new one.
  /// @return whether a new connection may be added.
  bool make_room();
  /// Closes the connection that can best be spared, if there is one.
  void release_connection();

  ClientId add(ServerConnection& connection);
  void remove(ClientId id);
  /// Updates what a connection holds. If all together hold too much, others are closed soon, not
  /// from within this call.
  void update(ClientId id, ClientState state, std::uint64_t bytes);
  void transferred(ClientId id, std::uint64_t bytes) { budget_.transferred(id, bytes); }
  bool may_process(std::uint64_t bytes) const { return budget_.may_process(bytes); }

 private:
  void evict_excess();

  boost::asio::io_context& loop_;
  ClientBudget budget_;
  std::unordered_map<ClientId, ServerConnection*> connections_;
  EvictionObserver observer_;
  bool eviction_posted_ = false;
  HandlerGuard handlers_;
};

}  // namespace dockpoint::net
