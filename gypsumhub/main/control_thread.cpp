#include "gypsumhub/main/control_thread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <ctime>
#include <list>
#include <pthread.h>
#include <thread>

namespace gypsumhub {

namespace asio = boost::asio;

namespace {

    // Calls a function at a fixed interval, first after one interval.
    class periodic_task {
    public:
        periodic_task(asio::io_context& context, duration interval, std::function<void()> work)
            : m_timer(context)
            , m_interval(interval.ns)
            , m_work(std::move(work))
        {
            m_timer.expires_after(m_interval);
            wait();
        }

    private:
        auto wait() -> void
        {
            m_timer.async_wait([this](const boost::system::error_code& error) {
                if (!error)
                    run();
            });
        }

        auto run() -> void
        {
            m_work();
            // The interval restarts now, so that a process that was paused does not run the missed calls in a burst.
            m_timer.expires_after(m_interval);
            wait();
        }

        asio::steady_timer m_timer;
        std::chrono::nanoseconds m_interval;
        std::function<void()> m_work;
    };

} // namespace

struct control_thread::implementation {
    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> guard { context.get_executor() };
    std::list<periodic_task> periodicTasks;
    std::jthread thread;
};

control_thread::control_thread()
    : m_implementation(std::make_unique<implementation>())
{
}

control_thread::~control_thread()
{
    m_implementation->context.stop();
}

auto control_thread::start() -> void
{
    m_implementation->thread = std::jthread([this] { m_implementation->context.run(); });
}

auto control_thread::post(std::function<void()> work) -> void
{
    asio::post(m_implementation->context, std::move(work));
}

auto control_thread::runEvery(duration interval, std::function<void()> work) -> void
{
    m_implementation->periodicTasks.emplace_back(m_implementation->context, interval, std::move(work));
}

auto control_thread::context() -> asio::io_context&
{
    return m_implementation->context;
}

auto control_thread::cpuTime() const -> duration
{
    auto clock = clockid_t {};
    auto handle = m_implementation->thread.native_handle();
    auto value = timespec {};
    if (!handle || pthread_getcpuclockid(handle, &clock) || clock_gettime(clock, &value))
        return {};
    return seconds(value.tv_sec) + duration { value.tv_nsec };
}

} // namespace gypsumhub
