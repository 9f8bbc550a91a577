#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// Splits a `text/event-stream` into complete events.
namespace dockpoint {

/// Maximum number of bytes of a stream without a further event that belongs to the answer. A
/// replica that fails may send an event that does not end, comments, or old events, without end.
inline constexpr std::size_t kMaxBytesWithoutEvent = 1024 * 1024;

/// One complete event.
struct StreamEvent {
  std::string_view bytes;  ///< As received, including the terminating empty line.
  std::optional<std::uint64_t> id;
  std::string data;       ///< Lines of `data`, joined by line feeds.
  bool has_data = false;  ///< Whether it has any such line; comments have none.
};

/// Splits a stream of bytes into events and buffers an incomplete one. Not thread-safe.
class EventFramer {
 public:
  using Sink = std::function<void(const StreamEvent&)>;

  /// Appends bytes and calls `sink` for each event that they complete.
  void feed(std::string_view bytes, const Sink& sink);

  /// @return whether the stream is between two events.
  bool at_boundary() const { return partial_.empty(); }
  /// @return the buffered bytes of the incomplete event.
  std::size_t partial_bytes() const { return partial_.size(); }
  /// Discards the incomplete event.
  void discard_partial() { partial_.clear(); }

 private:
  std::string partial_;
};

}  // namespace dockpoint
