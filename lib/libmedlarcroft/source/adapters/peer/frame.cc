#include "adapters/peer/frame.h"

#include <algorithm>

namespace medlarcroft::adapters {

std::array<std::uint8_t, kFrameHeaderBytes> EncodeFrameHeader(
    std::size_t payload_bytes) {
  const auto size = static_cast<std::uint32_t>(payload_bytes);
  return {static_cast<std::uint8_t>(size >> 24U),
          static_cast<std::uint8_t>(size >> 16U),
          static_cast<std::uint8_t>(size >> 8U),
          static_cast<std::uint8_t>(size)};
}

std::optional<std::size_t> DecodeFrameHeader(
    std::span<const std::uint8_t, kFrameHeaderBytes> header) {
  std::size_t size = 0;
  for (const std::uint8_t byte : header) {
    size = (size << 8U) | byte;
  }
  if (size == 0 || size > kMaxFrameBytes) {
    return std::nullopt;
  }
  return size;
}

void FrameReader::Append(std::span<const std::uint8_t> bytes) {
  buffer_.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
}

std::optional<std::string> FrameReader::Next() {
  if (is_corrupt_ || buffer_.size() < kFrameHeaderBytes) {
    return std::nullopt;
  }
  std::array<std::uint8_t, kFrameHeaderBytes> header{};
  std::copy_n(buffer_.begin(), kFrameHeaderBytes, header.begin());
  const auto size = DecodeFrameHeader(header);
  if (!size) {
    is_corrupt_ = true;
    return std::nullopt;
  }
  if (buffer_.size() < kFrameHeaderBytes + *size) {
    return std::nullopt;
  }

  std::string payload = buffer_.substr(kFrameHeaderBytes, *size);
  buffer_.erase(0, kFrameHeaderBytes + *size);
  return payload;
}

}  // namespace medlarcroft::adapters
