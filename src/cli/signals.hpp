#pragma once

#include <signal.h>

namespace dockpoint {

/// Blocks SIGTERM and SIGINT in this thread and in all threads started later, so that one thread
/// can wait for them, and ignores SIGPIPE. @return the two blocked signals.
inline sigset_t block_termination_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

}  // namespace dockpoint
