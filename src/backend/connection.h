#pragma once

#include <chrono>

namespace tamarackridge::backend {

using steady_time = std::chrono::steady_clock::time_point;

/// \brief How a wait beside an open connection ended.
enum class wait_end { elapsed, closed };

/// \brief Waits until \a until or until the peer closes the connection, whichever is first.
/// \param descriptor socket of the connection, or -1 when it is not known.
wait_end waitOnConnection(int descriptor, steady_time until);

/// \returns whether the peer has closed the connection.
bool isClosed(int descriptor);

} // namespace tamarackridge::backend
