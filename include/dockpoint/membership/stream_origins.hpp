#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/membership/member.hpp"
#include "dockpoint/routing/software_versions.hpp"
#include "dockpoint/streaming/origin_inquiry.hpp"
#include "dockpoint/streaming/stream_origin_message.hpp"
#include "dockpoint/streaming/stream_origin_table.hpp"

/// Knows at which software version each stream began, also for streams of other nodes.
///
/// A caller whose connection broke may resume its stream at any node, and the node that served it
/// may be gone. So while several versions serve, a node tells the origin of each resumable stream
/// to a few witnesses before it passes the first event on. While a single version serves, nobody is
/// told; the node keeps the origins of its streams and tells the witnesses when a second version
/// appears. The node at which a stream is resumed asks the witnesses, and more nodes in case its
/// view of the members differs; see origin_inquiry.hpp for what it concludes from their answers.
/// Where a single version serves in its own view, it has the log confirm that view meanwhile.
///
/// Free of I/O and clocks.
namespace dockpoint {

/// See the top of this file. Not thread-safe; borrows its arguments.
class StreamOrigins {
 public:
  /// Sends a datagram to another node.
  using Send = std::function<void(const std::string& address, const std::string& bytes)>;
  /// @return the live members.
  using Members = std::function<const std::vector<const Member*>&()>;
  /// Has the log confirm the versions that this node sees, as of this time or later; called again
  /// until `confirmed` is.
  using Confirm = std::function<void(TimePoint as_of)>;
  /// Called once with the result of a question.
  using Resolved = std::function<void(const OriginVerdict&)>;

  /// @param node id of this node.
  StreamOrigins(const Knobs& knobs, const SoftwareVersions& versions, std::string node,
                Members members, Send send, Confirm confirm);

  /// Records where a stream began; call before its first event is passed on.
  void record(const StreamKey& key, const StreamOrigin& origin, TimePoint now);
  /// Finds the origin of a stream, now or after answers of other nodes. An unanswered question ends
  /// with an unknown origin.
  /// @param identity what the key stands for.
  /// @param service of the stream's route; empty if the route has several.
  void resolve(const StreamKey& key, StreamIdentity identity, const std::string& service,
               TimePoint now, Resolved resolved);
  /// @param address datagram address of the sender.
  void take(const StreamOriginMessage& message, const std::string& address, TimePoint now);
  /// The log has confirmed the versions that this node sees.
  void confirmed(TimePoint now);
  /// Whether this node sees only a part of the replicas, so that its own view does not show that a
  /// single version serves.
  void set_view_partial(bool partial) { view_partial_ = partial; }
  /// Repeats messages and ends questions; call several times a second.
  void tick(TimePoint now);

  std::size_t known() const { return table_.size(); }

 private:
  struct PendingInquiry {
    OriginInquiry inquiry;
    std::string service;
    std::vector<Resolved> resolved;
    /// Callers with the same content who came back later: what is known as of before does not show
    /// where their streams began.
    std::vector<Resolved> later{};
  };
  struct Repeat {
    TimePoint at{};
    std::vector<StreamOriginRecord> records;
  };

  /// @return whether the witnesses of the service's streams are told.
  bool must_announce(const std::string& service) const;
  /// Tells the witnesses of the records, now and once more later.
  void announce(std::vector<StreamOriginRecord> records, TimePoint now);
  void send_to_witnesses(const std::vector<StreamOriginRecord>& records);
  void send_records(const std::string& address, const std::vector<StreamOriginRecord>& records);
  /// Tells the witnesses of earlier streams of the services at which a second version has appeared.
  void announce_earlier_streams(TimePoint now);
  /// @return datagram addresses of the best witnesses of a stream, without this node.
  std::vector<std::string> witnesses(const StreamKey& key, std::size_t count) const;
  void answer(const StreamOriginQuestion& question, const std::string& address, TimePoint now);
  VersionView view_for(const PendingInquiry& pending) const;
  /// Sends the question to all nodes that have not answered it.
  void ask(const StreamKey& key, const PendingInquiry& pending);
  void finish_if_certain(const StreamKey& key, TimePoint now);
  /// Ends all questions whose result is certain.
  void finish_certain(TimePoint now);

  const Knobs& knobs_;
  const SoftwareVersions& versions_;
  const std::string node_;
  const Members members_;
  const Send send_;
  const Confirm confirm_;
  StreamOriginTable table_;
  std::map<StreamKey, PendingInquiry> inquiries_;
  std::deque<Repeat> repeats_;
  bool view_partial_ = false;
  TimePoint last_tick_{};
};

}  // namespace dockpoint
