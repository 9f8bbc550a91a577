#pragma once

#include "emulator/fault_switches.hpp"
#include "emulator/log_store.hpp"
#include "http/http_server.hpp"

namespace dockpoint::emulator {

/// Emulates the platform's log service. Faults: `down` (1: refuse everything), `slow_ms`
/// (delay added to every response), `lose_answer_percent` (append, then break the connection).
class LogServer {
 public:
  explicit LogServer(const std::string& address);

  void start() { server_.start(); }
  void stop() { server_.stop(); }

 private:
  void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
  void append(const std::string& stream, Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);
  void read(const std::string& stream, const std::string& uri,
            Poco::Net::HTTPServerResponse& response);

  LogStore store_;
  FaultSwitches faults_;
  HttpServer server_;
};

}  // namespace dockpoint::emulator
