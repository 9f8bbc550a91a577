#include "dockpoint/batch/checkpoint.hpp"
#include "dockpoint/core/codec.hpp"
#include "simulation/sim_node.hpp"
#include "simulation/sim_node_internal.hpp"
#include "simulation/world.hpp"

/// Log part of `SimNode`: reads and writes the log like the daemon's followers and log writer.
namespace dockpoint::simulation {
namespace {

constexpr Duration kLogUnreachableAfter{2'000'000};
constexpr std::size_t kPageRecords = 2'000;
constexpr const char* kConfigurationStreamName = "configuration";

}  // namespace

void SimNode::read_configuration() {
  const std::uint64_t next = controller_->configuration().next_offset();
  world_.log().read(
      options_.name, kConfigurationStreamName, next, kPageRecords,
      guard<std::optional<LogPage>>([this](const std::optional<LogPage>& page) {
        const bool answered = page.has_value();
        if (answered) {
          log_answered_ = local_now();
          controller_->configuration_read(page->first, page->records, local_now());
        }
        const bool reachable = answered || local_now() - log_answered_ < kLogUnreachableAfter;
        if (reachable != log_reachable_) {
          log_reachable_ = reachable;
          controller_->log_reachability_changed(reachable);
        }
        if (answered) {
          read_configuration();
        } else {
          world_.events().after(kRetryPause, guarded([this] { read_configuration(); }));
        }
      }));
}

void SimNode::follow(int partition) {
  const std::uint64_t token = next_follow_token_++;
  followed_[partition] = token;
  load_checkpoint(partition, token);
}

void SimNode::unfollow(int partition) {
  followed_.erase(partition);
}

bool SimNode::follows(int partition, std::uint64_t follow_token) const {
  const auto found = followed_.find(partition);
  return found != followed_.end() && found->second == follow_token;
}

void SimNode::load_checkpoint(int partition, std::uint64_t follow_token) {
  constexpr std::size_t kWholeStream = 1'000'000;
  world_.log().read(options_.name, checkpoint_stream(partition), 0, kWholeStream,
                    guard<std::optional<LogPage>>([this, partition, follow_token](
                                                      const std::optional<LogPage>& page) {
                      if (!follows(partition, follow_token)) {
                        return;
                      }
                      if (!page) {
                        world_.events().after(kRetryPause, guarded([this, partition, follow_token] {
                                                if (follows(partition, follow_token)) {
                                                  load_checkpoint(partition, follow_token);
                                                }
                                              }));
                        return;
                      }
                      controller_->checkpoint_loaded(partition, assemble_checkpoint(page->records));
                      read_partition(partition, follow_token);
                    }));
}

void SimNode::read_partition(int partition, std::uint64_t follow_token) {
  const TimePoint started = local_now();
  const std::uint64_t next = controller_->next_offset(partition);
  world_.log().read(options_.name, job_stream(partition), next, kPageRecords,
                    guard<std::optional<LogPage>>([this, partition, follow_token, started,
                                                   next](const std::optional<LogPage>& page) {
                      if (!follows(partition, follow_token)) {
                        return;
                      }
                      if (!page) {
                        world_.events().after(kRetryPause, guarded([this, partition, follow_token] {
                                                if (follows(partition, follow_token)) {
                                                  read_partition(partition, follow_token);
                                                }
                                              }));
                        return;
                      }
                      const bool at_tail = next + page->records.size() >= page->end;
                      controller_->partition_read(partition, page->first, page->records, at_tail,
                                                  started, local_now());
                      read_partition(partition, follow_token);
                    }));
}

void SimNode::append(int partition, const PartitionRecord& record) {
  enqueue_append(job_stream(partition), encode(record));
}

void SimNode::write_checkpoint(int partition, Offset covers, std::string snapshot) {
  for (std::string& record : make_checkpoint_records(covers, generation_, snapshot,
                                                     options_.knobs.checkpoint_chunk_bytes)) {
    enqueue_append(checkpoint_stream(partition), std::move(record));
  }
}

void SimNode::append_configuration(const ConfigurationChange& change) {
  enqueue_append(kConfigurationStreamName, pack(change));
}

void SimNode::enqueue_append(const std::string& stream, std::string record) {
  append_queues_[stream].push_back(std::move(record));
  if (!appending_.contains(stream)) {
    write_next(stream);
  }
}

void SimNode::write_next(const std::string& stream) {
  std::deque<std::string>& queue = append_queues_[stream];
  if (queue.empty()) {
    appending_.erase(stream);
    return;
  }
  appending_.insert(stream);
  const std::vector<std::string> records(queue.begin(), queue.end());
  world_.log().append(
      options_.name, stream, records,
      guard<std::optional<std::uint64_t>>(
          [this, stream, count = records.size()](const std::optional<std::uint64_t>& offset) {
            if (offset || !options_.knobs.mechanisms.append_retries) {
              std::deque<std::string>& written = append_queues_[stream];
              written.erase(written.begin(), written.begin() + static_cast<std::ptrdiff_t>(count));
              write_next(stream);
            } else {
              world_.events().after(kRetryPause, guarded([this, stream] { write_next(stream); }));
            }
          }));
}

}  // namespace dockpoint::simulation
