#include "dockpoint/config/configuration_fold.hpp"

#include <algorithm>

namespace dockpoint {
namespace {

/// Maximum accepted changes kept with a revision; older ones are only in the log.
constexpr std::size_t kHistoryLength = 64;

}  // namespace

ChangeOutcome ConfigurationFold::apply(std::uint64_t offset, const ConfigurationChange& change) {
  next_offset_ = offset + 1;
  const bool already_accepted =
      std::any_of(history().begin(), history().end(),
                  [&](const AcceptedChange& accepted) { return accepted.change_id == change.id; });
  if (already_accepted) {
    return {ChangeVerdict::kDuplicate, current_.revision, "already taken"};
  }
  // A revision adopted from a peer may cover records that this node reads from the log only later.
  const bool covered = offset < current_.next_offset;
  if (covered) {
    return {ChangeVerdict::kConflict, current_.revision, "another change was taken first"};
  }
  if (mechanisms_.revision_check && change.base_revision != current_.revision) {
    return {ChangeVerdict::kConflict, current_.revision,
            "made from revision " + std::to_string(change.base_revision) + ", but revision " +
                std::to_string(current_.revision) + " by " + current_.author + " is in force"};
  }
  ChangeOutcome outcome;
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(config, parse_fleet_config(change.document));
    if (current_.revision > 0 && config.partitions != config_->partitions) {
      return fail(ResultCode::kConfigurationInvalid, "partitions cannot change");
    }
    ConfigurationRevision next{current_.revision + 1, next_offset_,    change.id,
                               change.author,         change.document, current_.history};
    next.history.push_back({next.revision, offset, change.id, change.author});
    if (next.history.size() > kHistoryLength) {
      next.history.pop_front();
    }
    install(std::move(next), std::move(config));
    return {};
  });
  if (error) {
    return {ChangeVerdict::kInvalid, current_.revision, error->message};
  }
  return {ChangeVerdict::kAccepted, current_.revision, {}};
}

bool ConfigurationFold::adopt(const ConfigurationRevision& revision) {
  if (revision.revision <= current_.revision) {
    return false;
  }
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(config, parse_fleet_config(revision.document));
    install(revision, std::move(config));
    return {};
  });
  if (error) {
    return false;
  }
  next_offset_ = std::max(next_offset_, revision.next_offset);
  return true;
}

void ConfigurationFold::install(ConfigurationRevision revision, FleetConfig config) {
  current_ = std::move(revision);
  config_ = std::make_shared<const FleetConfig>(std::move(config));
}

}  // namespace dockpoint
