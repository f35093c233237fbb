/// Checks the chunks of one streamed attempt and joins their text.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace arbutusgate {

/// Result of reading one event of an attempt.
enum class stream_step
{
    text,      ///< Text was appended; it may be empty.
    done,      ///< The stream is complete.
    gap,       ///< The text before this chunk is missing.
    wrong,     ///< The chunk belongs to another request or attempt.
    malformed, ///< The chunk cannot be parsed or reports an error.
};

/// Reads the stream of one attempt. Offsets count Unicode code points.
class stream_reader
{
public:
    /// \param offset length of the text that earlier attempts have passed on.
    stream_reader(std::string request_id, std::uint32_t attempt,
                  std::uint64_t offset);

    /// Reads the data of one event and appends the text that lies beyond the
    /// current offset.
    stream_step on_data(std::string_view data, std::string& text);
    /// Offset after all text received so far.
    std::uint64_t offset() const { return offset_; }
    /// Number of tokens received, counted as one per chunk with new text.
    std::uint32_t tokens() const { return tokens_; }

private:
    std::string   request_id_;
    std::uint32_t attempt_ = 0;
    std::uint64_t offset_  = 0;
    std::uint32_t tokens_  = 0;
};

/// \return the number of Unicode code points in UTF-8 text.
std::uint64_t count_code_points(std::string_view text);
/// \return the size in bytes of the first n code points.
std::size_t code_point_prefix_bytes(std::string_view text, std::uint64_t n);

} // namespace arbutusgate
