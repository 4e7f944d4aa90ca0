#pragma once

#include <urcu/urcu-memb.h>

#include <memory>

#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void *address);
extern "C" void __tsan_release(void *address);
#endif

namespace dogwoodvalve {

/// Registers the calling thread as an RCU reader for the lifetime of this object.
class RcuThreadRegistration
{
public:
    RcuThreadRegistration() { urcu_memb_register_thread(); }
    ~RcuThreadRegistration() { urcu_memb_unregister_thread(); }

    RcuThreadRegistration(const RcuThreadRegistration &) = delete;
    RcuThreadRegistration &operator=(const RcuThreadRegistration &) = delete;
};

/// A value that many threads read without blocking and one thread replaces occasionally
/// (read-copy-update). Reading threads must hold an RcuThreadRegistration.
template <class T>
class RcuPointer
{
public:
    explicit RcuPointer(std::unique_ptr<T> value)
        : m_value(value.release())
    { }

    ~RcuPointer() { delete m_value; }

    RcuPointer(const RcuPointer &) = delete;
    RcuPointer &operator=(const RcuPointer &) = delete;

    /// Gives access to the value for the lifetime of this object. Keep it short: publish() waits
    /// for it.
    class Reader
    {
    public:
        explicit Reader(const RcuPointer &pointer)
            : m_pointer(pointer)
        {
            urcu_memb_read_lock();
            m_value = rcu_dereference(m_pointer.m_value);
            m_pointer.tsanAcquire();
        }

        ~Reader()
        {
            m_pointer.tsanRelease();
            urcu_memb_read_unlock();
        }

        Reader(const Reader &) = delete;
        Reader &operator=(const Reader &) = delete;

        const T &operator*() const { return *m_value; }
        const T *operator->() const { return m_value; }

    private:
        const RcuPointer &m_pointer;
        const T *m_value;
    };

    /// Replaces the value, waits until no reader holds the old one and deletes that. Only one
    /// thread may publish at a time.
    void publish(std::unique_ptr<T> value)
    {
        T *old = m_value;
        tsanRelease();
        rcu_assign_pointer(m_value, value.release());
        urcu_memb_synchronize_rcu();
        tsanAcquire();
        delete old;
    }

private:
    // ThreadSanitizer cannot see the ordering that liburcu guarantees, so these calls declare it:
    // the construction of a value happens before each read of it, and the end of each read before
    // the deletion of the old value.
    void tsanRelease() const
    {
#if defined(__SANITIZE_THREAD__)
        __tsan_release(const_cast<RcuPointer *>(this));
#endif
    }

    void tsanAcquire() const
    {
#if defined(__SANITIZE_THREAD__)
        __tsan_acquire(const_cast<RcuPointer *>(this));
#endif
    }

    T *m_value;
};

} // namespace dogwoodvalve
