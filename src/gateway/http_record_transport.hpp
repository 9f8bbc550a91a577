#pragma once

#include <boost/asio/io_context.hpp>

#include "gateway/record_server.hpp"
#include "gateway/record_transport.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace dockpoint {

/// Sends record requests over HTTP. Single-threaded; borrows loop and client, which must outlive
/// it.
class HttpRecordTransport : public RecordTransport {
 public:
  HttpRecordTransport(boost::asio::io_context& loop, net::HttpClient& client)
      : loop_(loop), client_(client) {}

  void ask(const std::string& address, const RecordQuestion& question, Duration limit,
           std::function<void(RecordReply)> done) override;

 private:
  boost::asio::io_context& loop_;
  net::HttpClient& client_;
};

/// Answers a record request that arrived over HTTP, at once or later.
void serve_records(RecordServer& server, const net::ExchangePtr& exchange);

}  // namespace dockpoint
