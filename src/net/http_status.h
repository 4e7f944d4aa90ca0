#pragma once

namespace dogwoodvalve {

/// The first valid status.
inline constexpr int StatusContinue = 100;
inline constexpr int StatusSwitchingProtocols = 101;
inline constexpr int StatusOk = 200;
inline constexpr int StatusBadRequest = 400;
inline constexpr int StatusUnauthorized = 401;
inline constexpr int StatusNotFound = 404;
inline constexpr int StatusRequestTimeout = 408;
inline constexpr int StatusContentTooLarge = 413;
/// The request reached a server other than the intended one.
inline constexpr int StatusMisdirectedRequest = 421;
inline constexpr int StatusTooManyRequests = 429;
inline constexpr int StatusBadGateway = 502;
inline constexpr int StatusUnavailable = 503;
inline constexpr int StatusGatewayTimeout = 504;
/// The last valid status (RFC 9110, section 15).
inline constexpr int MaxStatus = 599;

} // namespace dogwoodvalve
