#include "transport/datagram_transport.hpp"

#include <Poco/Net/NetException.h>
#include <spdlog/spdlog.h>

#include <array>

#include "dockpoint/core/address.hpp"

namespace dockpoint {
namespace {

constexpr int kReceiveBufferBytes = 4 * 1024 * 1024;

}  // namespace

DatagramTransport::DatagramTransport(const std::string& address, Receive receive)
    : Part("peer-datagrams"),
      socket_(Poco::Net::SocketAddress(address), true),
      receive_(std::move(receive)) {
  socket_.setReceiveBufferSize(kReceiveBufferBytes);
}

void DatagramTransport::send(const std::string& address, const PeerMessage& message) {
  const std::optional<Address> parsed = Address::parse(address);
  const std::string bytes = encode(message);
  if (!parsed || bytes.size() > kMaximumDatagramBytes) {
    ++dropped_;
    return;
  }
  try {
    socket_.sendTo(bytes.data(), static_cast<int>(bytes.size()),
                   Poco::Net::SocketAddress(parsed->host, parsed->port));
    sent_bytes_ += bytes.size();
  } catch (const Poco::Exception&) {
    ++dropped_;  // The protocol tolerates the loss of any datagram.
  }
}

void DatagramTransport::run(std::stop_token stop) {
  const Poco::Timespan wait(0, 100'000);
  std::array<char, kMaximumDatagramBytes + 1> buffer{};
  while (!stop.stop_requested()) {
    if (!socket_.poll(wait, Poco::Net::Socket::SELECT_READ)) {
      continue;
    }
    int length = 0;
    try {
      Poco::Net::SocketAddress sender;
      length = socket_.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
    } catch (const Poco::Net::ConnectionRefusedException&) {
      continue;  // ICMP port unreachable for an earlier datagram.
    }
    received_bytes_ += static_cast<std::uint64_t>(length);
    auto message = decode_peer_message({buffer.data(), static_cast<std::size_t>(length)});
    if (message) {
      receive_(std::move(*message));
    } else {
      ++dropped_;
    }
  }
}

}  // namespace dockpoint
