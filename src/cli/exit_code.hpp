#pragma once

namespace dockpoint {

/// Exit codes of all programs; docs/OPERATIONS.md lists them.
enum ExitCode {
  kExitOk = 0,
  kExitFailure = 1,   ///< The work failed: a request, a job, a conflict.
  kExitUsage = 2,     ///< Unknown option or argument.
  kExitSettings = 3,  ///< Settings or configuration are invalid.
  kExitCut = 4,       ///< A drain ended with requests cut off.
};

}  // namespace dockpoint
