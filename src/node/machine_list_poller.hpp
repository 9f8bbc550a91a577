#pragma once

#include "http/http_session.hpp"
#include "node/control_loop.hpp"

namespace dockpoint {

/// Reads the platform's list of live and leaving machines every second:
/// `GET /machines` answers `{"machines":[{"address","kind":"node"|"engine","state"}]}`.
class MachineListPoller : public Part {
 public:
  MachineListPoller(std::string address, ControlLoop& control);

  void run(std::stop_token stop) override;

 private:
  void poll();

  const std::string address_;
  ControlLoop& control_;
  HttpSessionPool sessions_;
};

/// Parses the body of a `GET /machines` response.
Result<std::vector<MachineEntry>> parse_machine_list(const std::string& json);

}  // namespace dockpoint
