/// \file
/// Coroutines on the event loop: a lazy task, detached tasks and a single-use value.
#pragma once

#include "runtime/event_loop.hpp"

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>
#include <variant>

namespace bronzeplank {

template <class Value>
class task;

namespace internal {

/// The common part of the promises of task<Value> and task<void>; for use in task.hpp only.
struct promise_base {
    std::coroutine_handle<> continuation = std::noop_coroutine();
    std::exception_ptr error;

    struct final_awaiter {
        bool await_ready() const noexcept { return false; }
        template <class Promise>
        std::coroutine_handle<> await_suspend(std::coroutine_handle<Promise> self) noexcept {
            return self.promise().continuation;
        }
        void await_resume() const noexcept {}
    };

    std::suspend_always initial_suspend() const noexcept { return {}; }
    final_awaiter final_suspend() const noexcept { return {}; }
    void unhandled_exception() { error = std::current_exception(); }
};

template <class Value>
struct task_promise : promise_base {
    std::optional<Value> value;

    task<Value> get_return_object();
    template <class Source>
    void return_value(Source&& source) {
        value.emplace(std::forward<Source>(source));
    }
    Value take() {
        if (error) {
            std::rethrow_exception(error);
        }
        return std::move(*value);
    }
};

template <>
struct task_promise<void> : promise_base {
    task<void> get_return_object();
    void return_void() const {}
    void take() const {
        if (error) {
            std::rethrow_exception(error);
        }
    }
};

} // namespace internal

/// A lazy coroutine that returns one value or throws. It starts when it is awaited and runs only on
/// the thread of the event loop. Usage: `const int rows = co_await count_rows();`
template <class Value>
class [[nodiscard]] task {
public:
    using promise_type = internal::task_promise<Value>;
    using handle = std::coroutine_handle<promise_type>;

    explicit task(handle coroutine) : m_handle(coroutine) {}
    task(task&& other) noexcept : m_handle(std::exchange(other.m_handle, nullptr)) {}
    task& operator=(task&&) = delete;
    ~task() {
        if (m_handle) {
            m_handle.destroy();
        }
    }

    bool await_ready() const noexcept { return false; }
    std::coroutine_handle<> await_suspend(std::coroutine_handle<> caller) noexcept {
        m_handle.promise().continuation = caller;
        return m_handle;
    }
    Value await_resume() { return m_handle.promise().take(); }

private:
    handle m_handle;
};

namespace internal {

template <class Value>
task<Value> task_promise<Value>::get_return_object() {
    return task<Value>(std::coroutine_handle<task_promise>::from_promise(*this));
}

inline task<void> task_promise<void>::get_return_object() {
    return task<void>(std::coroutine_handle<task_promise>::from_promise(*this));
}

/// A coroutine that destroys itself when it ends; for use in spawn() only.
struct detached {
    struct promise_type {
        detached get_return_object() const { return {}; }
        std::suspend_never initial_suspend() const noexcept { return {}; }
        std::suspend_never final_suspend() const noexcept { return {}; }
        void return_void() const {}
        void unhandled_exception() const { std::terminate(); }
    };
};

inline detached run_detached(task<void> coroutine) {
    co_await coroutine;
}

} // namespace internal

/// Starts the task immediately and does not wait for it. An uncaught exception terminates the
/// process, so a detached task must handle its own errors.
inline void spawn(task<void> coroutine) {
    internal::run_detached(std::move(coroutine));
}

/// A value that a callback sets and one coroutine awaits. Only the first set() has an effect, so a
/// timer that also calls set() implements a timeout. Copies share the value.
/// Usage: `oneshot<int> done(loop); start([done] () mutable { done.set(1); }); co_await done;`
template <class Value>
class oneshot {
public:
    explicit oneshot(event_loop& loop) : m_state(std::make_shared<state>(loop)) {}

    void set(Value value) const {
        if (m_state->settled) {
            return;
        }
        m_state->settled = true;
        m_state->value.emplace(std::move(value));
        if (m_state->waiter) {
            // Resumed from the loop, after the caller of set() has returned.
            m_state->loop.post([shared = m_state] { shared->waiter.resume(); });
        }
    }

    bool settled() const { return m_state->settled; }

    bool await_ready() const { return m_state->value.has_value(); }
    void await_suspend(std::coroutine_handle<> waiter) const { m_state->waiter = waiter; }
    Value await_resume() const { return std::move(*m_state->value); }

private:
    struct state {
        explicit state(event_loop& owner) : loop(owner) {}
        event_loop& loop;
        bool settled = false;
        std::optional<Value> value;
        std::coroutine_handle<> waiter;
    };
    std::shared_ptr<state> m_state;
};

/// Suspends the awaiting coroutine for the delay.
inline task<void> sleep_for(event_loop& loop, duration delay) {
    oneshot<bool> done(loop);
    loop.later(delay, [done] { done.set(true); });
    co_await done;
}

} // namespace bronzeplank
