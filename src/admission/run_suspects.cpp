#include "dockpoint/admission/run_suspects.hpp"

#include <string>

namespace dockpoint {

RequestFingerprint fingerprint_of_part(std::string_view service, std::uint64_t part) {
  return hash128("prompt part " + std::to_string(part) + " of " + std::string(service));
}

std::vector<RequestFingerprint> shared_parts(std::string_view service,
                                             const std::vector<std::uint64_t>& parts) {
  std::vector<RequestFingerprint> shared;
  for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
    shared.push_back(fingerprint_of_part(service, parts[index]));
  }
  return shared;
}

}  // namespace dockpoint
