#include "dockpoint/streaming/origin_inquiry.hpp"

namespace dockpoint {

const char* to_string(OriginSource source) {
  switch (source) {
    case OriginSource::kOwnRecord:
      return "own_record";
    case OriginSource::kPeerRecord:
      return "peer_record";
    case OriginSource::kSoleVersion:
      return "sole_version";
    case OriginSource::kUnknown:
      break;
  }
  return "unknown";
}

OriginInquiry::OriginInquiry(const std::vector<std::string>& asked, TimePoint now)
    : asked_at_(now), sent_at_(now), awaited_(asked.begin(), asked.end()) {}

void OriginInquiry::add_unknown(const std::string& address, bool several_versions) {
  awaited_.erase(address);
  several_versions_ = several_versions_ || several_versions;
}

std::optional<OriginVerdict> OriginInquiry::verdict(const std::optional<StreamOrigin>& sole,
                                                    TimePoint now, const Knobs& knobs,
                                                    bool sole_pending) const {
  const Duration age = now - asked_at_;
  if (record_) {
    return OriginVerdict{*record_, OriginSource::kPeerRecord, age};
  }
  const bool may_change = !awaited_.empty() || (sole_pending && !several_versions_);
  if (may_change && age < knobs.stream_origin_question_limit) {
    return std::nullopt;
  }
  if (sole && !several_versions_) {
    return OriginVerdict{*sole, OriginSource::kSoleVersion, age};
  }
  return OriginVerdict{{}, OriginSource::kUnknown, age};
}

bool OriginInquiry::repeat_due(TimePoint now, const Knobs& knobs) {
  if (awaited_.empty() || now - sent_at_ < knobs.stream_origin_question_repeat) {
    return false;
  }
  sent_at_ = now;
  return true;
}

}  // namespace dockpoint
