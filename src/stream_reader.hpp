/// Checks the chunks of one streamed attempt and puts its text in order.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace arbutusgate {

/// What an event meant for the attempt.
enum class stream_step
{
    text,      ///< New text was appended; it may be empty.
    done,      ///< The stream ended in order.
    gap,       ///< Text before the chunk is missing.
    wrong,     ///< The chunk belongs to another request or attempt.
    malformed, ///< The chunk cannot be read or reports an error.
};

/// Reader of one attempt. Offsets count Unicode code points.
class stream_reader
{
public:
    /// \param offset text already passed on by earlier attempts.
    stream_reader(std::string request_id, std::uint32_t attempt,
                  std::uint64_t offset);

    /// Reads the data of one event and appends its new text.
    stream_step on_data(std::string_view data, std::string& text);
    /// Offset after all text received so far.
    std::uint64_t offset() const { return offset_; }
    std::uint32_t tokens() const { return tokens_; }

private:
    std::string   request_id_;
    std::uint32_t attempt_ = 0;
    std::uint64_t offset_  = 0;
    std::uint32_t tokens_  = 0;
};

/// Number of Unicode code points in UTF-8 text.
std::uint64_t count_characters(std::string_view text);
/// Bytes that the first n characters take.
std::size_t bytes_of_characters(std::string_view text, std::uint64_t n);

} // namespace arbutusgate
