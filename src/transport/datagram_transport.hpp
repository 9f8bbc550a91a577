#pragma once

#include <Poco/Net/DatagramSocket.h>

#include <atomic>
#include <functional>

#include "dockpoint/membership/messages.hpp"
#include "supervisor/supervisor.hpp"

namespace dockpoint {

/// Exchanges messages between nodes as UDP datagrams. `send` may be called from any thread.
class DatagramTransport : public Part {
 public:
  using Receive = std::function<void(PeerMessage)>;

  /// @param address `IP:port` to listen on.
  DatagramTransport(const std::string& address, Receive receive);

  void send(const std::string& address, const PeerMessage& message);

  void run(std::stop_token stop) override;

  std::uint64_t sent_bytes() const { return sent_bytes_; }
  std::uint64_t received_bytes() const { return received_bytes_; }
  std::uint64_t dropped_messages() const { return dropped_; }

 private:
  Poco::Net::DatagramSocket socket_;
  const Receive receive_;
  std::atomic<std::uint64_t> sent_bytes_{0};
  std::atomic<std::uint64_t> received_bytes_{0};
  std::atomic<std::uint64_t> dropped_{0};
};

}  // namespace dockpoint
