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
  kSoleVersion,  ///< No node has a record, and a single software version serves.
  kUnconfirmed,  ///< No node has a record, and the log did not confirm that the only version that
                 ///< this node sees is the only one that serves.
  kUnknown,      ///< No node has a record, and there may be several versions.
};

const char* to_string(OriginSource source);

/// Result of an inquiry.
struct OriginVerdict {
  StreamOrigin origin;  ///< Unknown if the source is.
  OriginSource source = OriginSource::kUnknown;
  Duration age{};  ///< Of this node's record, or of the inquiry.
};

/// What a node's own view shows of the software versions of a service.
struct VersionView {
  std::optional<StreamOrigin> sole;  ///< Origin of all streams, if it shows a single version.
  bool may_be_several = false;       ///< It shows several versions, or only a part of the replicas.
  bool history_known = true;         ///< Whether it includes the versions that served before.
  /// Whether the log has confirmed, since the stream was resumed, that the view lacks no current
  /// record of a replica.
  bool confirmed = false;
};

/// What a stream is known by.
enum class StreamIdentity {
  kAttempt,  ///< The id of its caller's first attempt: a record is of this stream.
  kContent,  ///< The content of its request: a record may be of another caller's stream.
};

/// Asks other nodes for the origin of a stream that a caller resumes.
///
/// A wrong origin joins the output of two versions, while a caller whose stream cannot go on can
/// start again. So without a record the stream goes on only if no node has seen a second version,
/// and the log has confirmed this node's view: a node that is cut off neither hears of a second
/// version nor of the nodes that know it. A record under the content of a request counts only if
/// all asked nodes have answered and none contradicts it. Not thread-safe.
class OriginInquiry {
 public:
  /// @param asked addresses of the nodes that are asked.
  OriginInquiry(const std::vector<std::string>& asked, TimePoint now,
                StreamIdentity identity = StreamIdentity::kAttempt);

  /// This node has a record.
  void add_own_record(const StreamOrigin& origin);
  /// A node answered with its record.
  void add_record(const std::string& address, const StreamOrigin& origin);
  /// A node answered that it has no record.
  /// @param contradictory whether it has several that contradict each other.
  void add_unknown(const std::string& address, bool several_versions, bool contradictory = false);

  /// @return the result, or nothing while answers may still change it.
  std::optional<OriginVerdict> verdict(const VersionView& view, TimePoint now,
                                       const Knobs& knobs) const;
  /// Starts the wait for answers anew, after a pause in which none could be received. Only a few
  /// times, so that pauses that recur do not prolong the wait without end.
  void restart(TimePoint now);
  StreamIdentity identity() const { return identity_; }
  /// @return when the question was asked, or the wait was started anew.
  TimePoint asked_at() const { return asked_at_; }
  /// @return whether a confirmation of this node's view can settle the question.
  bool needs_confirmation(const VersionView& view) const;
  /// @return addresses of the nodes that have not answered.
  const std::set<std::string>& awaited() const { return awaited_; }
  /// @return whether the question should be repeated now; true once per interval.
  bool repeat_due(TimePoint now, const Knobs& knobs);

 private:
  void note_record(const StreamOrigin& origin, OriginSource source);

  TimePoint asked_at_;
  int restarts_ = 0;
  const bool asked_any_;
  TimePoint sent_at_;
  std::set<std::string> awaited_;
  const StreamIdentity identity_;
  std::optional<StreamOrigin> record_;
  OriginSource record_source_ = OriginSource::kPeerRecord;
  bool several_versions_ = false;
  bool contradictory_ = false;
};

}  // namespace dockpoint
