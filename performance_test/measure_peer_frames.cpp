// Measures the bytes and the processor time of one frame between nodes, one line per figure: `name value unit target pass|fail`.
// Runs both ends of a connection over a pipe within the process.

#include "gypsumhub/fleet/peer_codec.h"
#include "gypsumhub/fleet/peer_connection.h"

#include <cstdio>
#include <ctime>

namespace gypsumhub {

namespace {

    constexpr auto frameCount = 20'000;

    /// Counts the bytes that pass through a stream in both directions.
    class counting_stream final : public kj::AsyncIoStream {
    public:
        counting_stream(kj::Own<kj::AsyncIoStream> inner, uint64_t& bytes)
            : m_inner(kj::mv(inner))
            , m_bytes(bytes)
        {
        }

        auto tryRead(void* buffer, size_t minBytes, size_t maxBytes) -> kj::Promise<size_t> override
        {
            return m_inner->tryRead(buffer, minBytes, maxBytes).then([this](size_t amount) {
                m_bytes += amount;
                return amount;
            });
        }
        auto write(const void* buffer, size_t size) -> kj::Promise<void> override
        {
            m_bytes += size;
            return m_inner->write(buffer, size);
        }
        auto write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) -> kj::Promise<void> override
        {
            for (auto piece : pieces)
                m_bytes += piece.size();
            return m_inner->write(pieces);
        }
        auto whenWriteDisconnected() -> kj::Promise<void> override { return m_inner->whenWriteDisconnected(); }
        auto shutdownWrite() -> void override { m_inner->shutdownWrite(); }

    private:
        kj::Own<kj::AsyncIoStream> m_inner;
        uint64_t& m_bytes;
    };

    /// One end of the connection. Accepts every peer and counts received messages.
    class measured_host final : public connection_host {
    public:
        measured_host(node_key self, kj::AsyncIoContext& io, const frame_seal& seal)
            : m_self(self)
            , m_io(io)
            , m_seal(seal)
        {
        }

        auto self() const -> node_key override { return m_self; }
        auto incarnation() const -> uint64_t override { return 1'700'000'000'000'000'000; }
        auto seal() const -> const frame_seal& override { return m_seal; }
        auto isKnown(node_key) const -> bool override { return true; }
        auto onEstablished(peer_connection&) -> void override { }
        auto onWritable(peer_connection&) -> void override { ++confirmed; }
        auto onMessages(node_key, std::vector<peer_message> messages) -> void override { received += messages.size(); }
        auto onRefused(result_code) -> void override { ++refused; }
        auto now() const -> kj::TimePoint override { return m_io.provider->getTimer().now(); }

        uint64_t confirmed { 0 };
        uint64_t received { 0 };
        uint64_t refused { 0 };

    private:
        node_key m_self;
        kj::AsyncIoContext& m_io;
        const frame_seal& m_seal;
    };

    auto processorMicroseconds() -> double
    {
        auto value = timespec {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
        return static_cast<double>(value.tv_sec) * 1e6 + static_cast<double>(value.tv_nsec) * 1e-3;
    }

    auto waitFor(kj::AsyncIoContext& io, const uint64_t& counter, uint64_t value) -> void
    {
        while (counter < value)
            io.provider->getTimer().afterDelay(100 * kj::MICROSECONDS).wait(io.waitScope);
    }

    auto measurePeerFrames() -> void
    {
        auto io = kj::setupAsyncIo();
        auto seal = frame_seal::create(std::vector<std::string> { "00112233445566778899aabbccddeeff" }).value();
        auto dialer = measured_host({ 0x1234567890abcdef }, io, seal);
        auto acceptor = measured_host({ 0xfedcba0987654321 }, io, seal);
        auto bytes = uint64_t { 0 };
        auto pipe = io.provider->newTwoWayPipe();
        auto accepted = peer_connection::accept(acceptor, kj::mv(pipe.ends[0]));
        auto dialed = peer_connection::dial(dialer, kj::heap<counting_stream>(kj::mv(pipe.ends[1]), bytes), acceptor.self());
        // The first confirmed frame is the empty one after the hello.
        waitFor(io, dialer.confirmed, 1);
        std::printf("peer_hello_bytes %llu B none info\n", static_cast<unsigned long long>(bytes));

        auto message = peer_message(ping_message { 1234567, dialer.incarnation(), {} });
        auto bytesBefore = bytes;
        auto cpuBefore = processorMicroseconds();
        for (auto index = uint64_t { 1 }; index <= frameCount; ++index) {
            dialed->send({ &message, 1 });
            while (acceptor.received < index || dialer.confirmed < index + 1)
                io.provider->getTimer().afterDelay(1 * kj::MICROSECONDS).wait(io.waitScope);
        }
        auto perFrame = static_cast<double>(bytes - bytesBefore) / frameCount;
        std::printf("peer_frame_bytes %.1f B none info\n", perFrame);
        std::printf("peer_frame_overhead_bytes %.1f B none info\n", perFrame - static_cast<double>(encodedSize(message)));
        std::printf("peer_frame_processor_us %.2f us none info\n", (processorMicroseconds() - cpuBefore) / frameCount);
        std::printf("peer_frames_refused %llu count 0 %s\n", static_cast<unsigned long long>(dialer.refused + acceptor.refused),
            dialer.refused + acceptor.refused == 0 ? "pass" : "fail");
    }

} // namespace

} // namespace gypsumhub

auto main() -> int
{
    gypsumhub::measurePeerFrames();
    return 0;
}
