#include "tamarackridge/src/base/run_state.h"

namespace tamarackridge {

std::string_view toString(run_state state)
{
    switch (state) {
    case run_state::not_run:
        return "not-run";
    case run_state::ran:
        return "ran";
    case run_state::unknown:
        break;
    }
    return "unknown";
}

} // namespace tamarackridge
