#pragma once

#include "log/log_client.hpp"
#include "node/control_loop.hpp"

namespace dockpoint {

/// Name of the stream on which operators publish configuration.
inline constexpr const char* kConfigurationStream = "configuration";

/// Reads the configuration stream and reports to the control thread whether the log is reachable.
class ConfigurationFollower : public Part {
 public:
  ConfigurationFollower(LogClient& log, ControlLoop& control);

  void run(std::stop_token stop) override;

 private:
  void report_reachability(bool reachable);

  LogClient& log_;
  ControlLoop& control_;
  bool reachable_ = true;
};

}  // namespace dockpoint
