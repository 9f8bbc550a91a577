#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>

/// Decides which clients give way when all of them together hold too much memory or too many
/// connections.
///
/// A client that the node waits for gives way before one that waits for the node, and one that has
/// made no progress for longest before the others: a crowd that stops short is older than an
/// ordinary request, which arrives at once. Small requests outlast large ones.
namespace dockpoint {

/// Limits on what the clients of a node make it hold, over all of its ports.
struct ClientLimits {
  /// Requests that are being received or processed, and answers that are not read yet, in bytes.
  std::uint64_t buffer_bytes = 64 * 1024 * 1024;
  /// Connections; 0: three quarters of the descriptors that the process may open.
  std::size_t connections = 0;
};

/// What the settings state about the machine; 0: not stated.
struct MachineResources {
  std::uint64_t memory_bytes = 0;
  std::size_t descriptors = 0;
};

/// @return the limits that leave most memory and some descriptors of a machine to other uses:
/// replicas, the log and peers.
ClientLimits limits_for(const MachineResources& machine);

/// What a connection waits for.
enum class ClientState {
  kRefused,     ///< Its answer is sent; further input is dropped until it closes.
  kNew,         ///< The client, which has not sent anything yet.
  kIdle,        ///< The client's next request.
  kSending,     ///< The rest of a request.
  kReceiving,   ///< The client to read an answer.
  kPipelining,  ///< This node to answer a request; the client has sent more behind it.
  kProcessing,  ///< This node to answer a request.
};

/// @return the name used in logs and metrics.
std::string_view name_of(ClientState state);

/// Identifies a connection; never reused.
using ClientId = std::uint64_t;

/// Accounts for the connections of clients and selects those to close. Not thread-safe.
class ClientBudget {
 public:
  /// Memory that a connection takes beside its buffers, in bytes.
  static constexpr std::uint64_t kConnectionBytes = 4 * 1024;
  /// A connection that holds no more than this beside its own memory outlasts those that hold more.
  static constexpr std::uint64_t kSmallBytes = 8 * 1024;
  /// A client makes progress with every so many bytes; fewer do not keep its place.
  static constexpr std::uint64_t kProgressBytes = 4 * 1024;
  /// Part of the buffers that only small requests may fill while they are processed: one in so
  /// many.
  static constexpr std::uint64_t kSmallRequestsShare = 8;

  explicit ClientBudget(const ClientLimits& limits) : limits_(limits) {}

  void set_buffer_bytes(std::uint64_t bytes) { limits_.buffer_bytes = bytes; }

  /// Adds a connection in state `kNew`.
  ClientId add();
  void remove(ClientId id);
  /// Updates what a connection waits for and holds, without `kConnectionBytes`. A new state is
  /// progress.
  void update(ClientId id, ClientState state, std::uint64_t bytes);
  /// Notes bytes that a client has sent or read.
  void transferred(ClientId id, std::uint64_t bytes);

  /// @return whether a complete request may be processed whose buffers take `bytes` in all.
  bool may_process(std::uint64_t bytes) const;
  /// @return the connection to close next, if all together hold too many bytes.
  std::optional<ClientId> excess_buffer() const;
  /// @return whether a further connection exceeds the limit.
  bool full() const { return clients_.size() >= limits_.connections; }
  /// @return the connection to close for a new one, or nothing if all wait for this node.
  std::optional<ClientId> replaceable_connection() const;

  std::uint64_t bytes() const { return bytes_; }
  std::size_t connections() const { return clients_.size(); }
  const ClientLimits& limits() const { return limits_; }

 private:
  /// Connections in order of their last progress.
  using Queue = std::map<std::uint64_t, ClientId>;
  enum class Rank { kRefused, kNew, kIdle, kLarge, kSmall, kProcessing, kCount };

  struct Client {
    ClientState state = ClientState::kNew;
    std::uint64_t bytes = kConnectionBytes;
    std::uint64_t transferred = 0;  ///< Since its last progress, in bytes.
    std::uint64_t progress = 0;     ///< Key in its queue.
    Rank rank = Rank::kNew;
  };

  static Rank rank_of(ClientState state, std::uint64_t bytes);
  Queue& queue(Rank rank) { return queues_[static_cast<std::size_t>(rank)]; }
  const Queue& queue(Rank rank) const { return queues_[static_cast<std::size_t>(rank)]; }
  void enqueue(ClientId id, Client& client);
  void dequeue(const Client& client);

  ClientLimits limits_;
  std::unordered_map<ClientId, Client> clients_;
  std::array<Queue, static_cast<std::size_t>(Rank::kCount)> queues_;
  std::uint64_t bytes_ = 0;
  std::uint64_t processing_bytes_ = 0;
  std::uint64_t last_progress_ = 0;
  ClientId last_id_ = 0;
};

}  // namespace dockpoint
