#pragma once

#include <cstdint>

namespace gypsumhub {

/// How a fake target handles its requests.
enum class target_behaviour : uint8_t {
    Normal,
    /// Answers 500.
    Fails,
    /// Rejects the request without running it, as a target at capacity does.
    Sheds,
    /// Runs the request and closes the connection without an answer.
    Drops,
    /// Sends an answer with the id of another request before the right one.
    AnswersOtherRequest,
    /// Closes the connection in the middle of its answer.
    Cuts,
    /// Sends a late copy of another answer, without an id, before the right one.
    AnswersWithoutId,
    /// Runs the request and sends interim answers, one header field after the other, or a body, until the caller closes.
    EndlessInterim,
    EndlessHead,
    EndlessBody,
    /// The same in an answer in chunks: in the header of a chunk, or in a field behind the last chunk.
    EndlessChunkHeader,
    EndlessTrailer,
    /// Runs the request and sends an answer with an empty body in chunks, its last bytes one by one.
    DripsLastChunk,
    /// Runs the request and breaks off its answer: before the last chunk, with a chunk size that is no number, or by resetting an answer
    /// without a length.
    CutsChunks,
    SpoilsChunk,
    ResetsUnframed,
    /// Runs the request and closes the connection in the middle of its answer's head: within the status line, within a field, or before the
    /// line that ends it.
    CutsStatusLine,
    CutsField,
    CutsHead,
    /// Rejects the first request of a connection. Before the answer to each later one, which it runs, it writes that rejection once more.
    RepeatsRejection,
};

} // namespace gypsumhub
