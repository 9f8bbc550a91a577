#include "support/log_faults.hpp"

namespace dockpoint::test {

MemoryLogFaults draw_log_faults(std::mt19937_64& random) {
  const auto chance = [&](std::uint64_t one_in) { return random() % one_in == 0; };
  MemoryLogFaults faults;
  faults.down = chance(3);
  faults.silent = !faults.down && chance(3);
  faults.lose_answers = chance(2) ? 0.3 : 0;
  faults.delay_appends = chance(2) ? 0.2 : 0;
  return faults;
}

}  // namespace dockpoint::test
