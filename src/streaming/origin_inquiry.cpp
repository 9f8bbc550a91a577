#include "dockpoint/streaming/origin_inquiry.hpp"

namespace dockpoint {
namespace {

constexpr int kMaxRestarts = 3;

}  // namespace

const char* to_string(OriginSource source) {
  switch (source) {
    case OriginSource::kOwnRecord:
      return "own_record";
    case OriginSource::kPeerRecord:
      return "peer_record";
    case OriginSource::kSoleVersion:
      return "sole_version";
    case OriginSource::kUnconfirmed:
      return "unconfirmed";
    case OriginSource::kUnknown:
      break;
  }
  return "unknown";
}

OriginInquiry::OriginInquiry(const std::vector<std::string>& asked, TimePoint now,
                             StreamIdentity identity)
    : asked_at_(now),
      asked_any_(!asked.empty()),
      sent_at_(now),
      awaited_(asked.begin(), asked.end()),
      identity_(identity) {}

void OriginInquiry::restart(TimePoint now) {
  if (restarts_ < kMaxRestarts) {
    ++restarts_;
    asked_at_ = now;
  }
}

void OriginInquiry::note_record(const StreamOrigin& origin, OriginSource source) {
  if (record_) {
    contradictory_ = contradictory_ || *record_ != origin;
    return;
  }
  record_ = origin;
  record_source_ = source;
}

void OriginInquiry::add_own_record(const StreamOrigin& origin) {
  note_record(origin, OriginSource::kOwnRecord);
}

void OriginInquiry::add_record(const std::string& address, const StreamOrigin& origin) {
  awaited_.erase(address);
  note_record(origin, OriginSource::kPeerRecord);
}

void OriginInquiry::add_unknown(const std::string& address, bool several_versions,
                                bool contradictory) {
  awaited_.erase(address);
  several_versions_ = several_versions_ || several_versions;
  contradictory_ = contradictory_ || contradictory;
}

bool OriginInquiry::needs_confirmation(const VersionView& view) const {
  const bool may_be_sole = !several_versions_ && !view.may_be_several;
  return may_be_sole && !view.confirmed && (view.sole || !view.history_known);
}

std::optional<OriginVerdict> OriginInquiry::verdict(const VersionView& view, TimePoint now,
                                                    const Knobs& knobs) const {
  const Duration age = now - asked_at_;
  if (contradictory_) {
    return OriginVerdict{{}, OriginSource::kUnknown, age};
  }
  if (record_ && identity_ == StreamIdentity::kAttempt) {
    return OriginVerdict{*record_, record_source_, age};
  }
  const bool awaits_answers = !awaited_.empty() && age < knobs.stream_origin_question_limit;
  const bool may_be_sole = !several_versions_ && !view.may_be_several;
  const bool log_may_settle = may_be_sole && (needs_confirmation(view) || !view.history_known);
  const bool awaits_log = log_may_settle && age < knobs.stream_origin_confirmation_limit;
  if (awaits_answers || awaits_log) {
    return std::nullopt;
  }
  if (log_may_settle) {
    return OriginVerdict{{}, OriginSource::kUnconfirmed, age};
  }
  if (record_ && asked_any_ && awaited_.empty()) {
    return OriginVerdict{*record_, record_source_, age};
  }
  if (!may_be_sole || !view.sole) {
    return OriginVerdict{{}, OriginSource::kUnknown, age};
  }
  return OriginVerdict{*view.sole, OriginSource::kSoleVersion, age};
}

bool OriginInquiry::repeat_due(TimePoint now, const Knobs& knobs) {
  if (awaited_.empty() || now - sent_at_ < knobs.stream_origin_question_repeat) {
    return false;
  }
  sent_at_ = now;
  return true;
}

}  // namespace dockpoint
