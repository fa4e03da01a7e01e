#include "load/plan.h"

#include <algorithm>
#include <map>

namespace tamarackridge::load {
namespace {

constexpr number_range positive{1e-6, 1e9};
constexpr number_range nonNegative{0.0, 1e9};
constexpr double defaultTimeoutMs = 2000.0;
constexpr double defaultMaxOutstanding = 4000.0;
constexpr double defaultDrainSeconds = 10.0;

duration milliseconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

duration seconds(double value)
{
    return milliseconds(value * 1000.0);
}

template <typename Element>
std::ptrdiff_t indexOf(const std::vector<Element> &elements, std::string_view name)
{
    const auto found = std::find_if(elements.begin(), elements.end(),
                                    [&](const Element &element) { return element.name == name; });
    return found == elements.end() ? -1 : found - elements.begin();
}

/// Reads an object that maps element names to numbers, and stores each number at the index of its
/// element. Elements that are not named keep their value.
template <typename Element>
void readByName(field_reader &reader, const char *field, const std::vector<Element> &elements,
                std::vector<double> &numbers, error_list &errors)
{
    const nlohmann::json *value = reader.field(field);
    if (value == nullptr)
        return;
    field_reader fields(*value, reader.pathOf(field), errors);
    for (std::size_t index = 0; index < elements.size(); ++index)
        numbers[index] = fields.number(elements[index].name.c_str(), nonNegative, numbers[index]);
    fields.rejectUnknown();
}

request_kind readKind(field_reader reader)
{
    request_kind kind;
    kind.name = reader.text("name");
    kind.method = reader.text("method", "GET");
    kind.path = reader.text("path");
    if (!kind.path.empty() && kind.path.front() != '/')
        reader.addError("path", "a path that starts with /");
    kind.idempotent = reader.boolean("idempotent", kind.method == "GET");
    kind.crash = reader.boolean("crash", false);
    kind.minBodyBytes = static_cast<std::size_t>(reader.number("body_bytes", {0.0, 1e8}, 0.0));
    if (kind.method == "GET" && kind.minBodyBytes > 0)
        reader.addError("body_bytes", "0 for a GET");
    reader.rejectUnknown();
    return kind;
}

retry_policy readRetry(const nlohmann::json *value, const std::string &path, error_list &errors)
{
    retry_policy policy;
    if (value == nullptr)
        return policy;
    field_reader reader(*value, path, errors);
    const std::string mode = reader.text("mode");
    policy.mode = mode == "immediate" ? retry_mode::immediate
                  : mode == "backoff" ? retry_mode::backoff
                                      : retry_mode::none;
    if (policy.mode == retry_mode::none && mode != "none")
        reader.addError("mode", "none, immediate or backoff");
    const std::optional<double> noRetries =
            policy.mode == retry_mode::none ? std::optional(0.0) : std::nullopt;
    policy.retries = static_cast<unsigned>(reader.number("retries", {0.0, 1000.0}, noRetries));
    policy.baseDelay = milliseconds(reader.number("base_ms", nonNegative, 100.0));
    reader.rejectUnknown();
    return policy;
}

rate_limit readLimit(const nlohmann::json *value, const std::string &path, error_list &errors)
{
    if (value == nullptr)
        return {};
    field_reader reader(*value, path, errors);
    const rate_limit limit{reader.number("rate", positive), reader.number("burst", positive)};
    reader.rejectUnknown();
    return limit;
}

id_source readIdSource(field_reader &reader)
{
    const std::string source = reader.text("ids", "batch");
    if (source != "batch" && source != "answer")
        reader.addError("ids", "batch or answer");
    return source == "answer" ? id_source::response : id_source::batch;
}

void readTargets(field_reader &reader, load_customer &customer)
{
    for (const nlohmann::json &target : reader.list("targets")) {
        if (!target.is_string() || !target.get_ref<const std::string &>().starts_with("http://"))
            reader.addError("targets", "base URLs that start with http://");
        else
            customer.targets.push_back(target.get<std::string>());
    }
}

load_customer readCustomer(field_reader reader, const load_plan &plan, error_list &errors)
{
    load_customer customer;
    customer.name = reader.text("name");
    customer.key = reader.text("key", "");
    customer.rate = reader.number("rate", nonNegative);
    customer.limit = readLimit(reader.field("limit"), reader.pathOf("limit"), errors);
    customer.kindWeights.assign(plan.kinds.size(), 0.0);
    readByName(reader, "kinds", plan.kinds, customer.kindWeights, errors);
    if (std::all_of(customer.kindWeights.begin(), customer.kindWeights.end(),
                    [](double share) { return share <= 0.0; }))
        reader.addError("kinds", "a share above 0 for at least one kind");
    readTargets(reader, customer);
    customer.skew = reader.number("skew", {0.0, 10.0}, 0.0);
    customer.retry = readRetry(reader.field("retry"), reader.pathOf("retry"), errors);
    customer.timeout = milliseconds(reader.number("timeout_ms", {1.0, 1e6}, defaultTimeoutMs));
    customer.deadline = milliseconds(reader.number("deadline_ms", {0.0, 1e6}, 0.0));
    customer.ids = readIdSource(reader);
    reader.rejectUnknown();
    return customer;
}

load_phase readPhase(field_reader reader, const load_plan &plan, error_list &errors)
{
    load_phase phase;
    phase.name = reader.text("name");
    phase.length = seconds(reader.number("seconds", {0.001, 86'400.0}));
    const double multiplier = reader.number("multiplier", nonNegative, 1.0);
    phase.multipliers.assign(plan.customers.size(), multiplier);
    readByName(reader, "customers", plan.customers, phase.multipliers, errors);
    phase.surge = reader.boolean("surge", false);
    reader.rejectUnknown();
    return phase;
}

/// Reads a list of named elements; a repeated name is an error.
template <typename Read>
auto readNamed(field_reader &reader, const char *field, error_list &errors, Read read)
{
    std::vector<decltype(read(reader))> elements;
    for (const nlohmann::json &value : reader.list(field)) {
        const std::string path = reader.pathOf(field) + "[" + std::to_string(elements.size()) + "]";
        auto element = read(field_reader(value, path, errors));
        if (indexOf(elements, element.name) >= 0)
            errors.push_back(path + ".name: expected a name that is used once");
        elements.push_back(std::move(element));
    }
    return elements;
}

} // namespace

duration load_plan::length() const
{
    duration sum{};
    for (const load_phase &phase : phases)
        sum += phase.length;
    return sum;
}

load_plan parsePlan(std::string_view text, error_list &errors)
{
    load_plan plan;
    const nlohmann::json value = parseCommentedJson(text, errors);
    if (!errors.empty())
        return plan;
    field_reader reader(value, "", errors);
    plan.seed = static_cast<std::uint64_t>(reader.number("seed", {0.0, 9e15}, 1.0));
    plan.threads = static_cast<unsigned>(reader.number("threads", {1.0, 16.0}, 2.0));
    plan.maxOutstanding = static_cast<std::size_t>(
            reader.number("max_outstanding", {1.0, 100'000.0}, defaultMaxOutstanding));
    plan.drainTimeout = seconds(reader.number("drain_seconds", {0.0, 600.0}, defaultDrainSeconds));
    plan.kinds = readNamed(reader, "kinds", errors,
                           [](field_reader kind) { return readKind(std::move(kind)); });
    plan.customers = readNamed(reader, "customers", errors, [&](field_reader customer) {
        return readCustomer(std::move(customer), plan, errors);
    });
    plan.phases = readNamed(reader, "phases", errors, [&](field_reader phase) {
        return readPhase(std::move(phase), plan, errors);
    });
    reader.rejectUnknown();
    return plan;
}

} // namespace tamarackridge::load
