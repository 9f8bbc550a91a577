#pragma once

#include <chrono>
#include <deque>
#include <mutex>
#include <string>

#include "http/http_server.hpp"

namespace dockpoint::emulator {

/// Emulates the platform's list of live and leaving machines. `GET /machines` returns the list as
/// of `lag` ago; `POST /admin/machines` replaces it.
class MachineListServer {
 public:
  MachineListServer(const std::string& address, std::chrono::milliseconds lag);

  void start() { server_.start(); }
  void stop() { server_.stop(); }

 private:
  struct Version {
    std::chrono::steady_clock::time_point since;
    std::string json;
  };

  void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
  std::string delayed_list();

  const std::chrono::milliseconds lag_;
  std::mutex mutex_;
  std::deque<Version> versions_;
  HttpServer server_;
};

}  // namespace dockpoint::emulator
