#include "dockpoint/admission/request_fingerprint.hpp"

#include <initializer_list>
#include <string>

namespace dockpoint {

RequestFingerprint fingerprint_of(const RequestContent& content) {
  // Hashes each part separately, so that moving bytes between adjacent parts changes the result.
  std::string digests;
  for (const std::string_view part :
       {content.method, content.host, content.target, content.tenant, content.body}) {
    digests += hash128(part).hex();
  }
  return hash128(digests);
}

}  // namespace dockpoint
