#include "simulation/reference.hpp"

#include "dockpoint/core/codec.hpp"

namespace dockpoint::simulation {
namespace {

void read_partition(const std::vector<std::string>& records, Reference& reference) {
  Epoch epoch = 0;
  for (const std::string& bytes : records) {
    const std::optional<PartitionRecord> record = decode_partition_record(bytes);
    if (!record) {
      continue;
    }
    if (const auto* claim = std::get_if<OwnershipClaim>(&record->body)) {
      epoch = claim->replaces == epoch ? claim->epoch : epoch;
    } else if (const auto* accepted = std::get_if<JobAccepted>(&record->body)) {
      if (accepted->epoch == epoch && !reference.jobs.contains(accepted->job.id)) {
        ReferenceJob& job = reference.jobs[accepted->job.id];
        job.items = accepted->job.items;
        job.file_id = accepted->job.input_file_id;
      }
    } else if (const auto* cancelled = std::get_if<JobCancelled>(&record->body)) {
      const auto found = reference.jobs.find(cancelled->job);
      if (found != reference.jobs.end() && found->second.results.size() < found->second.items) {
        found->second.cancelled = true;
      }
    } else if (const auto* completed = std::get_if<ItemCompleted>(&record->body)) {
      const auto found = reference.jobs.find(completed->job);
      if (found != reference.jobs.end() && !found->second.cancelled) {
        found->second.results.emplace(completed->item, *completed);
      }
    }
  }
}

void read_configuration(const std::vector<std::string>& records, Reference& reference) {
  for (const std::string& bytes : records) {
    const auto change = unpack<ConfigurationChange>(bytes);
    if (change && change->base_revision == reference.change_ids.size()) {
      reference.change_ids.push_back(change->id);
    }
  }
}

}  // namespace

Reference build_reference(World& world) {
  Reference reference;
  for (int partition = 0; partition < world.deployment().partitions; ++partition) {
    read_partition(world.log().records(job_stream(partition)), reference);
  }
  read_configuration(world.log().records("configuration"), reference);
  return reference;
}

}  // namespace dockpoint::simulation
