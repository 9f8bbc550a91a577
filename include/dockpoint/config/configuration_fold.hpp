#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include "dockpoint/core/codec.hpp"

#include "dockpoint/config/fleet_config.hpp"
#include "dockpoint/core/mechanisms.hpp"

/// The configuration stream and its fold.
///
/// Operators may append changes concurrently, and an append whose answer was lost may be repeated.
/// The fold reads the stream in offset order and accepts a change only if it is based on the
/// current revision and validates. So exactly one of several racing changes wins, every node that
/// has read the same prefix holds the same revision, and no revision reverts.
namespace dockpoint {

/// A proposed change, as a record of the stream `configuration`.
struct ConfigurationChange {
  std::string id;                   ///< Unique; the same for an append that is repeated.
  std::uint64_t base_revision = 0;  ///< Revision that the change is based on.
  std::string author;
  std::string document;  ///< The whole new configuration, JSON.
  DOCKPOINT_FIELDS(id, base_revision, author, document)
};

/// An accepted change, without its document.
struct AcceptedChange {
  std::uint64_t revision = 0;
  std::uint64_t offset = 0;  ///< Offset of the change's record.
  std::string change_id;
  std::string author;
  DOCKPOINT_FIELDS(revision, offset, change_id, author)
};

/// One accepted revision.
struct ConfigurationRevision {
  std::uint64_t revision = 0;     ///< 0: none yet.
  std::uint64_t next_offset = 0;  ///< Offset after the record of this revision.
  std::string change_id;
  std::string author;
  std::string document;
  /// The most recent changes, this one included, oldest first. A node that adopts the revision
  /// from a peer skips their records in the log but still knows the outcome of each.
  std::deque<AcceptedChange> history;
  DOCKPOINT_FIELDS(revision, next_offset, change_id, author, document, history)
};

/// Verdict on one change.
enum class ChangeVerdict { kAccepted, kDuplicate, kConflict, kInvalid };

/// The outcome of one record.
struct ChangeOutcome {
  ChangeVerdict verdict = ChangeVerdict::kInvalid;
  std::uint64_t revision = 0;  ///< Revision in force after the record.
  std::string detail;          ///< Why the change was rejected.
};

/// Fold of the configuration stream. Not thread-safe.
class ConfigurationFold {
 public:
  explicit ConfigurationFold(const Mechanisms& mechanisms = {}) : mechanisms_(mechanisms) {}

  /// Applies the record at `offset`, which must be `next_offset()`.
  ChangeOutcome apply(std::uint64_t offset, const ConfigurationChange& change);

  /// Skips a record that could not be decoded.
  void skip(std::uint64_t offset) { next_offset_ = offset + 1; }

  /// Adopts a revision of a peer if it is newer than the revision in force here.
  /// @return whether it was adopted.
  bool adopt(const ConfigurationRevision& revision);

  /// @return the revision in force; its `revision` is 0 before the first.
  const ConfigurationRevision& current() const { return current_; }

  /// @return the parsed configuration in force; empty before the first revision. Shared, so that
  /// readers keep a consistent snapshot while a newer one replaces it.
  std::shared_ptr<const FleetConfig> config() const { return config_; }

  /// @return the offset of the next record to read.
  std::uint64_t next_offset() const { return next_offset_; }

  /// @return the most recent accepted changes, oldest first.
  const std::deque<AcceptedChange>& history() const { return current_.history; }

 private:
  void install(ConfigurationRevision revision, FleetConfig config);

  Mechanisms mechanisms_;
  std::uint64_t next_offset_ = 0;
  ConfigurationRevision current_;
  std::shared_ptr<const FleetConfig> config_ = std::make_shared<FleetConfig>();
};

}  // namespace dockpoint
