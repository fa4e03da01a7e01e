#pragma once

#include "backend/connection.h"
#include "backend/slot_gate.h"

#include <deque>
#include <mutex>

namespace tamarackridge::backend {

/// \brief Load as `/load` reports it: late by a lag and multiplied by a factor.
class load_endpoint
{
public:
    /// \param lag age of the reported load.
    /// \param factor 1 tells the truth; less understates and more overstates the load.
    load_endpoint(std::chrono::milliseconds lag, double factor);

    /// \brief Notes the load at \a now; called whenever it changes.
    void note(const gate_load &load, steady_time now);
    /// \returns what `/load` reports at \a now.
    gate_load reported(steady_time now);

    void setFactor(double factor);

private:
    struct sample
    {
        steady_time at;
        gate_load load;
    };
    void dropSuperseded(steady_time now);

    const std::chrono::milliseconds m_lag;
    std::mutex m_mutex;
    double m_factor;
    std::deque<sample> m_samples; ///< The first one is the newest that is at least m_lag old.
};

} // namespace tamarackridge::backend
