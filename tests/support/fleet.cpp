#include "support/fleet.hpp"

namespace dockpoint::test {

std::string fleet_document(int engines, int slots, int partitions) {
  std::string list;
  for (int index = 1; index <= engines; ++index) {
    const std::string number = std::to_string(index);
    list += std::string(index == 1 ? "" : ",") + R"({"name":"engine-)" + number +
            R"(","address":"127.0.0.1:)" + std::to_string(9000 + index) +
            R"(","model":"lm","slots":)" + std::to_string(slots) + R"(,"labels":{"zone":"zone-)" +
            std::to_string(index % 2) + R"(","generation":"gen)" + std::to_string(index % 2 + 1) +
            R"(","memory_gb":")" + std::to_string(index * 40) + R"("}})";
  }
  return R"({"partitions":)" + std::to_string(partitions) + R"(,"engines":[)" + list +
         R"(],"services":[{"name":"lm","model":"lm","selector":{}}]})";
}

std::shared_ptr<const FleetConfig> make_fleet(int engines, int slots) {
  FleetConfig config =
      with_error([&] { return parse_fleet_config(fleet_document(engines, slots)); },
                 [](const Error&) { return FleetConfig{}; });
  return std::make_shared<const FleetConfig>(std::move(config));
}

TimePoint at(std::int64_t milliseconds) {
  return TimePoint(std::chrono::milliseconds(milliseconds));
}

}  // namespace dockpoint::test
