#pragma once

#include <chrono>

namespace tamarackridge::backend {

using steady_time_point = std::chrono::steady_clock::time_point;

/// \brief Why a wait on an open connection ended.
enum class wait_result { elapsed, closed };

/// \brief Waits until \a until or until the peer closes the connection, whichever comes first.
/// \param descriptor socket of the connection, or -1 if it is unknown; then only waits.
wait_result waitWhileConnected(int descriptor, steady_time_point until);

/// \returns whether the peer has closed the connection.
bool isClosed(int descriptor);

} // namespace tamarackridge::backend
