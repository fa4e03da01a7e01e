#pragma once

#include "tamarackridge/src/overload/retry_budget.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace tamarackridge::internal {

/// \brief Retry budgets of one node: one for all services, or one for each service.
///
/// With one for each service, requests to one service earn no retries to another one that is
/// overloaded.
class retry_budget_table
{
public:
    enum class scope : std::uint8_t { node, service };

    explicit retry_budget_table(scope budgetScope = scope::node,
                                const retry_budget_options &options = {})
        : m_scope(budgetScope)
        , m_options(options)
    { }

    retry_budget &forService(std::string_view service)
    {
        const std::string_view key = m_scope == scope::node ? std::string_view() : service;
        const auto found = m_budgets.find(key);
        if (found != m_budgets.end())
            return found->second;
        return m_budgets.emplace(std::string(key), retry_budget(m_options)).first->second;
    }

private:
    scope m_scope;
    retry_budget_options m_options;
    std::map<std::string, retry_budget, std::less<>> m_budgets;
};

} // namespace tamarackridge::internal
