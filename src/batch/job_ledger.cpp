#include "dockpoint/batch/job_ledger.hpp"

#include <algorithm>
#include <charconv>
#include <tuple>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {
namespace {

constexpr char kJobPrefix = 'j';
constexpr char kEndPrefix = 'e';
constexpr char kResultPrefix = 'r';
constexpr char kCheckpointPrefix = 'p';
constexpr char kSeparator = '/';

/// Space reserved for key and framing in a record, in bytes.
constexpr std::size_t kRecordOverhead = 512;

struct ItemWire {
  std::string id;
  std::string path;
  std::vector<std::string> headers;  ///< Alternating names and values.
  std::string body;
  double tokens = 0;
  DOCKPOINT_FIELDS(id, path, headers, body, tokens)
};

struct JobWire {
  std::string id;
  std::string host;
  std::string path;
  std::int64_t submitted_ms = 0;
  std::vector<ItemWire> items;
  std::string tenant;  ///< Missing in records written before tenants were introduced.
  DOCKPOINT_FIELDS(id, host, path, submitted_ms, items, tenant)
};

struct ResultWire {
  std::uint32_t item = 0;
  bool succeeded = false;
  std::string text;
  DOCKPOINT_FIELDS(item, succeeded, text)
};

struct StepWire {
  bool restart = false;
  std::string text;
  bool has_event = false;
  std::uint64_t last_event = 0;
  int failures = 0;
  std::string service;           ///< Missing in records of builds that did not track the origin.
  std::string software_version;  ///< Missing in the same records.
  /// The text was taken from the replicas' own answers only. Missing in records of builds that did
  /// not tell them from others.
  bool verified = false;
  DOCKPOINT_FIELDS(restart, text, has_event, last_event, failures, service, software_version,
                   verified)
};

std::string checkpoint_key(const std::string& job, std::uint32_t item, std::uint32_t number) {
  return kCheckpointPrefix + job + kSeparator + std::to_string(item) + kSeparator +
         std::to_string(number);
}

/// Prefixes a piece with the number of pieces of its value, as a 4-byte big-endian integer.
std::string with_count(std::uint32_t count, std::string_view piece) {
  std::string value;
  for (int shift = 24; shift >= 0; shift -= 8) {
    value += static_cast<char>((count >> shift) & 0xff);
  }
  value += piece;
  return value;
}

std::vector<KeyedRecord> split_into_records(const std::string& name, std::string_view value,
                                            std::size_t record_bytes) {
  const std::size_t piece_bytes = record_bytes - std::min(record_bytes / 2, kRecordOverhead);
  const auto count = static_cast<std::uint32_t>((value.size() + piece_bytes - 1) / piece_bytes);
  std::vector<KeyedRecord> records;
  for (std::uint32_t index = 0; index < count; ++index) {
    const std::string_view piece = value.substr(index * piece_bytes, piece_bytes);
    records.push_back({name + kSeparator + std::to_string(index), with_count(count, piece), 0});
  }
  return records;
}

/// @return the decimal number that starts at position `start` of a key.
std::uint32_t to_index(const std::string& key, std::size_t start) {
  std::uint32_t index = 0;
  std::from_chars(key.data() + start, key.data() + key.size(), index);
  return index;
}

JobWire to_wire(const BatchJob& job) {
  JobWire wire{job.id, job.host, job.path, job.submitted_ms, {}, job.tenant};
  for (const BatchItem& item : job.items) {
    wire.items.push_back({item.id, item.path, item.header_list(), item.body, item.tokens});
  }
  return wire;
}

BatchJob from_wire(JobWire wire) {
  BatchJob job{
      std::move(wire.id),    std::move(wire.host), std::move(wire.path), wire.submitted_ms, {},
      std::move(wire.tenant)};
  for (ItemWire& item : wire.items) {
    BatchItem taken{
        std::move(item.id), std::move(item.path), {}, std::move(item.body), item.tokens};
    for (std::size_t index = 0; index + 1 < item.headers.size(); index += 2) {
      taken.headers.emplace_back(std::move(item.headers[index]),
                                 std::move(item.headers[index + 1]));
    }
    job.items.push_back(std::move(taken));
  }
  return job;
}

}  // namespace

std::vector<std::string> BatchItem::header_list() const {
  std::vector<std::string> list;
  for (const auto& [name, value] : headers) {
    list.push_back(name);
    list.push_back(value);
  }
  return list;
}

double LedgerJob::waiting_tokens() const {
  double tokens = 0;
  for (std::size_t item = 0; !ended && item < job.items.size(); ++item) {
    tokens += listed[item] ? 0 : job.items[item].tokens;
  }
  return tokens;
}

std::vector<KeyedRecord> job_records(const BatchJob& job, std::size_t record_bytes) {
  return split_into_records(kJobPrefix + job.id, pack(to_wire(job)), record_bytes);
}

KeyedRecord end_record(const std::string& job) {
  return {kEndPrefix + job, "1", 0};
}

std::vector<KeyedRecord> result_records(const std::string& job, const ItemResult& result,
                                        std::size_t record_bytes) {
  const std::string name = kResultPrefix + job + kSeparator + std::to_string(result.item);
  return split_into_records(name, pack(ResultWire{result.item, result.succeeded, result.text}),
                            record_bytes);
}

KeyedRecord checkpoint_record(const std::string& job, std::uint32_t item,
                              const CheckpointStep& step) {
  const StepWire wire{
      step.restart,  step.text,           step.last_event.has_value(),  step.last_event.value_or(0),
      step.failures, step.origin.service, step.origin.software_version, true};
  return {checkpoint_key(job, item, step.number), pack(wire), 0};
}

KeyedRecord checkpoint_removal(const std::string& job, std::uint32_t item, std::uint32_t number) {
  return {checkpoint_key(job, item, number), {}, 0};
}

std::string tenant_job_id(const std::string& tenant, const std::string& id) {
  // The hash has a fixed length, so ids of different tenants never share a prefix.
  return tenant.empty() ? id : hash128_hex(tenant) + id;
}

int job_partition(const std::string& job, int partitions) {
  return static_cast<int>(hash64(job) % static_cast<std::uint64_t>(std::max(1, partitions)));
}

std::optional<ChunkAssembler::Value> ChunkAssembler::add(const KeyedRecord& record) {
  constexpr std::size_t kCountBytes = 4;
  const std::size_t slash = record.key.rfind(kSeparator);
  if (slash == std::string::npos || record.value.size() < kCountBytes) {
    return std::nullopt;
  }
  std::uint32_t count = 0;
  for (std::size_t index = 0; index < kCountBytes; ++index) {
    count = (count << 8) | static_cast<unsigned char>(record.value[index]);
  }
  const std::string name = record.key.substr(0, slash);
  const std::uint32_t index = to_index(record.key, slash + 1);
  Parts& parts = parts_[name];
  parts.chunks[index] = record.value.substr(kCountBytes);
  parts.offset = std::max(parts.offset, record.offset);
  if (parts.chunks.size() < count) {
    return std::nullopt;
  }
  Value value_read{name, {}, parts.offset};
  for (auto& [number, chunk] : parts.chunks) {
    value_read.value += chunk;
  }
  parts_.erase(name);
  return value_read;
}

std::optional<std::string> JobLedger::apply_job_record(const KeyedRecord& record) {
  if (record.key.empty()) {
    return std::nullopt;
  }
  if (record.value.empty()) {
    remove_job(record.key);
    return std::nullopt;
  }
  if (record.key.front() == kEndPrefix) {
    const std::string id = record.key.substr(1);
    ended_.insert(id);
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
      return std::nullopt;
    }
    found->second.ended = true;
    return id;
  }
  const auto value_read = assembler_.add(record);
  if (!value_read || value_read->name.front() != kJobPrefix) {
    return std::nullopt;
  }
  auto wire = unpack<JobWire>(value_read->value);
  if (!wire || jobs_.contains(wire->id)) {
    return std::nullopt;
  }
  const std::string id = wire->id;
  LedgerJob& entry = jobs_[id];
  entry.job = from_wire(std::move(*wire));
  entry.ended = ended_.contains(id);
  entry.listed.resize(entry.job.items.size());
  const auto early = early_results_.extract(id);
  if (!early.empty()) {
    for (ItemResult& result : early.mapped()) {
      add_result(id, std::move(result));
    }
  }
  return id;
}

void JobLedger::remove_job(const std::string& key) {
  const std::string id = key.substr(1, key.find(kSeparator) - 1);
  ended_.erase(id);
  jobs_.erase(id);
}

void JobLedger::load_results(std::vector<KeyedRecord> records) {
  std::vector<ChunkAssembler::Value> results;
  ChunkAssembler assembler;
  for (const KeyedRecord& record : records) {
    if (!record.key.starts_with(kResultPrefix)) {
      continue;
    }
    if (auto value_read = assembler.add(record)) {
      results.push_back(std::move(*value_read));
    }
  }
  load_checkpoints(records);
  std::sort(results.begin(), results.end(),
            [](const auto& one, const auto& other) { return one.offset < other.offset; });
  for (const ChunkAssembler::Value& value_read : results) {
    const std::size_t slash = value_read.name.rfind(kSeparator);
    auto wire = unpack<ResultWire>(value_read.value);
    if (slash != std::string::npos && wire) {
      add_result(value_read.name.substr(1, slash - 1),
                 {wire->item, wire->succeeded, std::move(wire->text)});
    }
  }
}

void JobLedger::load_checkpoints(const std::vector<KeyedRecord>& records) {
  struct Step {
    std::string job;
    std::uint32_t item = 0;
    std::uint32_t number = 0;
    StepWire wire;
  };
  std::vector<Step> steps;
  for (const KeyedRecord& record : records) {
    const std::size_t last = record.key.rfind(kSeparator);
    if (!record.key.starts_with(kCheckpointPrefix) || last == std::string::npos || last == 0) {
      continue;
    }
    const std::size_t middle = record.key.rfind(kSeparator, last - 1);
    auto wire = unpack<StepWire>(record.value);
    if (middle == std::string::npos || !wire) {
      continue;
    }
    steps.push_back({record.key.substr(1, middle - 1), to_index(record.key, middle + 1),
                     to_index(record.key, last + 1), std::move(*wire)});
  }
  std::sort(steps.begin(), steps.end(), [](const Step& one, const Step& other) {
    return std::tie(one.job, one.item, one.number) < std::tie(other.job, other.item, other.number);
  });
  for (Step& step : steps) {
    LoadedCheckpoint& loaded = checkpoints_[{step.job, step.item}];
    if (step.wire.restart) {
      loaded.checkpoint = {};
    }
    StreamOrigin origin;
    if (step.wire.verified) {
      origin = {std::move(step.wire.service), std::move(step.wire.software_version)};
    }
    const bool first = loaded.checkpoint.text.empty();
    // An older build may have continued the text anywhere, or with bytes of no replica.
    loaded.checkpoint.origin =
        first || loaded.checkpoint.origin == origin ? std::move(origin) : StreamOrigin{};
    loaded.checkpoint.text += step.wire.text;
    loaded.checkpoint.failures = step.wire.failures;
    if (step.wire.has_event) {
      loaded.checkpoint.last_event = step.wire.last_event;
    }
    loaded.steps = step.number + 1;
  }
}

const JobLedger::LoadedCheckpoint* JobLedger::checkpoint(const std::string& job,
                                                         std::uint32_t item) const {
  const auto found = checkpoints_.find({job, item});
  return found == checkpoints_.end() ? nullptr : &found->second;
}

void JobLedger::add_result(const std::string& job, ItemResult result) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) {
    early_results_[job].push_back(std::move(result));
    return;
  }
  LedgerJob& entry = found->second;
  if (result.item >= entry.listed.size() || entry.listed[result.item]) {
    return;
  }
  entry.listed[result.item] = true;
  entry.results.push_back(std::move(result));
}

const LedgerJob* JobLedger::find(const std::string& job) const {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? nullptr : &found->second;
}

}  // namespace dockpoint
