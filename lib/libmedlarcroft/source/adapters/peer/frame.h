#ifndef MEDLARCROFT_ADAPTERS_PEER_FRAME_H_
#define MEDLARCROFT_ADAPTERS_PEER_FRAME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace medlarcroft::adapters {

/// Each message is preceded by its length in bytes, as a 32-bit big-endian
/// number.
inline constexpr std::size_t kFrameHeaderBytes = 4;

/// Limits how much memory one peer can make another allocate, for example by a
/// corrupt length. The largest message is a delta of 1,000 entries of 2 KB.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{4} * 1024 * 1024;

/// @return the header for a payload of `payload_bytes` bytes.
[[nodiscard]] std::array<std::uint8_t, kFrameHeaderBytes> EncodeFrameHeader(
    std::size_t payload_bytes);

/// @return the payload size in bytes, or nullopt when it is 0 or above
/// `kMaxFrameBytes`.
[[nodiscard]] std::optional<std::size_t> DecodeFrameHeader(
    std::span<const std::uint8_t, kFrameHeaderBytes> header);

/// @brief Splits a byte stream into frames.
class FrameReader {
 public:
  /// @brief Appends received bytes.
  void Append(std::span<const std::uint8_t> bytes);

  /// @return the next complete payload, or nullopt when more bytes are needed
  /// or the stream is corrupt.
  std::optional<std::string> Next();

  /// @return bytes that are kept until their frame is whole.
  [[nodiscard]] std::size_t Kept() const { return buffer_.size(); }

  /// @return whether a frame had an invalid length; the connection must be
  /// closed.
  [[nodiscard]] bool IsCorrupt() const { return is_corrupt_; }

 private:
  std::string buffer_;
  bool is_corrupt_ = false;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PEER_FRAME_H_
