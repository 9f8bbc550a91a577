#pragma once

namespace dockpoint {

/// Exit codes of all programs; docs/OPERATIONS.md lists them.
enum ExitCode {
  kExitOk = 0,
  kExitFailure = 1,   ///< A request or job failed, or a revision conflicted.
  kExitUsage = 2,     ///< Unknown option or argument.
  kExitSettings = 3,  ///< Settings or configuration are invalid.
  kExitCut = 4,       ///< A drain ended by aborting requests in flight.
};

}  // namespace dockpoint
