#include "tamarackridge/src/config/config_delta.h"

#include "sections.h"
#include "validate.h"

#include <algorithm>
#include <iterator>

namespace tamarackridge {
namespace {

using internal::byName;
using internal::findByName;
using internal::listOf;
using internal::section;

/// \returns the sorted names of the objects of one section in \a deletes.
template <typename Object>
std::vector<std::string_view> deletedNames(const std::vector<object_name> &deletes)
{
    std::vector<std::string_view> names;
    for (const object_name &entry : deletes) {
        if (entry.section == section<Object>::name)
            names.push_back(entry.name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

template <typename Object>
void checkDeletes(const std::vector<Object> &before, const std::vector<Object> &upserts,
                  const std::vector<std::string_view> &deletes, config_errors &errors)
{
    for (std::size_t index = 0; index < deletes.size(); ++index) {
        const std::string_view name = deletes[index];
        const std::string label = std::string(section<Object>::name) + "/" + std::string(name);
        if (findByName(before, name) == nullptr)
            errors.push_back({label, "", "the object to delete does not exist"});
        if (findByName(upserts, name) != nullptr)
            errors.push_back({label, "", "the object is both changed and deleted"});
        if (index > 0 && deletes[index - 1] == name)
            errors.push_back({label, "", "the object is deleted twice"});
    }
}

template <typename Object>
std::vector<Object> merge(const std::vector<Object> &before, const std::vector<Object> &upserts,
                          const std::vector<std::string_view> &deletes)
{
    std::vector<Object> result;
    result.reserve(before.size() + upserts.size());
    // std::set_union keeps the element of the first range if both ranges have one of the same name.
    std::set_union(upserts.begin(), upserts.end(), before.begin(), before.end(),
                   std::back_inserter(result), byName);
    std::erase_if(result, [&deletes](const Object &object) {
        return std::binary_search(deletes.begin(), deletes.end(), std::string_view(object.name));
    });
    return result;
}

template <typename Object>
void addDifference(const config_set &from, const config_set &to, config_delta &delta)
{
    const std::vector<Object> &before = listOf<Object>(from.objects());
    const std::vector<Object> &after = listOf<Object>(to.objects());
    for (const Object &object : after) {
        const Object *old = findByName(before, object.name);
        if (old == nullptr || !(*old == object))
            listOf<Object>(delta.upserts).push_back(object);
    }
    for (const Object &object : before) {
        if (findByName(after, object.name) == nullptr)
            delta.deletes.push_back({std::string(section<Object>::name), object.name});
    }
}

} // namespace

bool config_delta::empty() const
{
    return *this == config_delta{};
}

tl::expected<config_set, config_errors> apply(const config_set &base, const config_delta &delta)
{
    config_errors errors;
    config_objects objects;
    objects.settings = delta.settings.value_or(base.settings());
    config_objects changed = delta.upserts;
    internal::normalise(changed);
    internal::forEachSection([&]<typename Object>() {
        const std::vector<Object> &before = listOf<Object>(base.objects());
        const std::vector<Object> &upserts = listOf<Object>(changed);
        const std::vector<std::string_view> deletes = deletedNames<Object>(delta.deletes);
        checkDeletes(before, upserts, deletes, errors);
        listOf<Object>(objects) = merge(before, upserts, deletes);
    });
    if (errors.empty())
        return config_set::create(std::move(objects));
    return tl::unexpected(internal::validateAfter(std::move(errors), objects));
}

config_delta difference(const config_set &from, const config_set &to)
{
    config_delta delta;
    if (!(from.settings() == to.settings()))
        delta.settings = to.settings();
    internal::forEachSection([&]<typename Object>() { addDifference<Object>(from, to, delta); });
    std::sort(delta.deletes.begin(), delta.deletes.end());
    return delta;
}

} // namespace tamarackridge
