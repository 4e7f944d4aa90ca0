#pragma once

#include <boost/outcome/result.hpp>

#include <stdexcept>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// The kinds of error that the library reports. Callers that handle an error switch on the kind;
/// the message is for people.
enum class ErrorKind {
    InvalidArgument,
    NotFound,
    Conflict,
    Unavailable,
    Timeout,
    Overloaded,
    Unauthorized,
    Malformed,
    TooLarge,
    Expired,
    Internal,
};

/// The lower-case word for a kind, as used in logs and in JSON.
std::string_view toString(ErrorKind kind);

/// An error: its kind, what happened, and what the reader can do about it.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    std::string remedy;

    /// The message and, if there is one, the remedy in one line.
    std::string describe() const;
};

/// Thrown by value() on a failed result, for callers that prefer exceptions to checks.
class ErrorException : public std::runtime_error
{
public:
    explicit ErrorException(Error error)
        : std::runtime_error(error.describe())
        , m_error(std::move(error))
    { }

    const Error &error() const { return m_error; }

private:
    Error m_error;
};

/// Makes value() on a failed result throw ErrorException.
struct ThrowErrorPolicy : BOOST_OUTCOME_V2_NAMESPACE::policy::base
{
    template <class Impl>
    static constexpr void wide_value_check(Impl &&self)
    {
        if (!base::_has_value(self))
            throw ErrorException(base::_error(self));
    }

    template <class Impl>
    static constexpr void wide_error_check(Impl &&self)
    {
        if (base::_has_value(self))
            throw std::logic_error("error() called on a result that holds a value");
    }
};

/// Either a value or an Error. Check has_value(), or call value() and catch ErrorException.
template <class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, ThrowErrorPolicy>;

} // namespace dogwoodvalve
