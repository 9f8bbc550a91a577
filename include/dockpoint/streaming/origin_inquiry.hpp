#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/streaming/stream_origin.hpp"

namespace dockpoint {

/// How the origin of a stream became known.
enum class OriginSource {
  kOwnRecord,    ///< This node served the stream or is one of its witnesses.
  kPeerRecord,   ///< Another node answered.
  kSoleVersion,  ///< No node has a record, and all see the same single software version.
  kUnknown,      ///< No node has a record, and there may be several versions.
};

const char* to_string(OriginSource source);

/// Result of an inquiry.
struct OriginVerdict {
  StreamOrigin origin;  ///< Unknown if the source is.
  OriginSource source = OriginSource::kUnknown;
  Duration age{};  ///< Of this node's record, or of the inquiry.
};

/// Asks other nodes for the origin of a stream that a caller resumes.
///
/// A wrong origin joins the output of two versions, while a caller whose stream cannot go on can
/// start again. So without a record the stream goes on only if no node has seen a second version.
/// Not thread-safe.
class OriginInquiry {
 public:
  /// @param asked addresses of the nodes that are asked.
  OriginInquiry(const std::vector<std::string>& asked, TimePoint now);

  void add_record(const StreamOrigin& origin) { record_ = origin; }
  /// A node answered that it has no record.
  void add_unknown(const std::string& address, bool several_versions);

  /// @param sole origin of all streams if this node has seen a single software version.
  /// @param sole_pending whether this node does not know yet which versions served before.
  /// @return the result, or nothing while answers may still change it.
  std::optional<OriginVerdict> verdict(const std::optional<StreamOrigin>& sole, TimePoint now,
                                       const Knobs& knobs, bool sole_pending = false) const;
  /// @return addresses of the nodes that have not answered.
  const std::set<std::string>& awaited() const { return awaited_; }
  /// @return whether the question should be repeated now; true once per interval.
  bool repeat_due(TimePoint now, const Knobs& knobs);

 private:
  const TimePoint asked_at_;
  TimePoint sent_at_;
  std::set<std::string> awaited_;
  std::optional<StreamOrigin> record_;
  bool several_versions_ = false;
};

}  // namespace dockpoint
