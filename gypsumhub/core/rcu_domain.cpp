#include "gypsumhub/core/rcu_domain.h"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace gypsumhub {

namespace {

    /// Registers a reader thread with liburcu until the thread ends.
    struct thread_registration {
        thread_registration() { urcu_memb_register_thread(); }
        ~thread_registration() { urcu_memb_unregister_thread(); }
    };

    [[maybe_unused]] char gracePeriodMarker;

    // ThreadSanitizer does not detect liburcu's fences. These calls declare the ordering that a grace period guarantees.
    auto markReadEnd() -> void
    {
#if defined(__SANITIZE_THREAD__)
        __tsan_release(&gracePeriodMarker);
#endif
    }

    auto markGracePeriodEnd() -> void
    {
#if defined(__SANITIZE_THREAD__)
        __tsan_acquire(&gracePeriodMarker);
#endif
    }

} // namespace

rcu_read_guard::rcu_read_guard()
{
    static thread_local auto registration = thread_registration {};
    urcu_memb_read_lock();
}

rcu_read_guard::~rcu_read_guard()
{
    markReadEnd();
    urcu_memb_read_unlock();
}

auto rcuSynchronize() -> void
{
    urcu_memb_synchronize_rcu();
    markGracePeriodEnd();
}

} // namespace gypsumhub
