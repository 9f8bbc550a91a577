#pragma once

#include <signal.h>

namespace dockpoint {

/// Blocks SIGTERM and SIGINT, so that every thread started later inherits it and one can wait for
/// them, and ignores SIGPIPE. @return the two signals.
inline sigset_t block_end_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

}  // namespace dockpoint
