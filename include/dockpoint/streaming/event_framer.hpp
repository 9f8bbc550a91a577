#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// Cutting a `text/event-stream` into whole events.
namespace dockpoint {

/// One whole event.
struct StreamEvent {
  std::string_view bytes;  ///< As it came, its empty line included.
  std::optional<std::uint64_t> id;
  std::string data;  ///< Lines of `data`, joined by line feeds.
};

/// Cuts a stream of bytes into events; keeps what is not whole yet. Not thread-safe.
class EventFramer {
 public:
  using Sink = std::function<void(const StreamEvent&)>;

  /// Takes bytes and calls `sink` for each event that is whole with them.
  void feed(std::string_view bytes, const Sink& sink);

  /// @return whether the stream stands between two events.
  bool at_boundary() const { return partial_.empty(); }
  /// @return bytes of the event that is not whole yet.
  std::size_t partial_bytes() const { return partial_.size(); }
  /// Forgets the event that is not whole yet.
  void discard_partial() { partial_.clear(); }

 private:
  std::string partial_;
};

}  // namespace dockpoint
