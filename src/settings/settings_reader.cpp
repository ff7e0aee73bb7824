#include "settings_reader.hpp"

namespace egretspindle
{

std::string describe(const toml::node* node)
{
    if (node == nullptr)
    {
        return "nothing";
    }
    constexpr std::size_t max_size = 60;
    std::ostringstream out;
    node->visit([&out](const auto& value) { out << value; });
    std::string text = out.str();
    if (text.size() > max_size)
    {
        text = text.substr(0, max_size) + "...";
    }
    return text;
}

const toml::node* table_reader::find(const char* name)
{
    known_keys_.insert(name);
    return table_ == nullptr ? nullptr : table_->get(name);
}

table_reader table_reader::table(const char* name)
{
    const toml::node* node = find(name);
    if (node != nullptr && !node->is_table())
    {
        add_error(name, describe(node), "a table");
        node = nullptr;
    }
    return {node == nullptr ? nullptr : node->as_table(), path_of(name),
            errors_};
}

const toml::array* table_reader::array(const char* name,
                                       std::string_view expected)
{
    const toml::node* node = find(name);
    if (node != nullptr && !node->is_array())
    {
        add_error(name, describe(node), expected);
        return nullptr;
    }
    return node == nullptr ? nullptr : node->as_array();
}

std::string table_reader::text(const char* name, std::string_view expected,
                               bool is_optional)
{
    const toml::node* node = find(name);
    if (node == nullptr && is_optional)
    {
        return {};
    }
    if (node == nullptr || !node->is_string() ||
        node->as_string()->get().empty())
    {
        add_error(name, describe(node), expected);
        return {};
    }
    return node->as_string()->get();
}

void table_reader::number(const char* name, std::int64_t& value,
                          std::int64_t lowest, std::int64_t highest)
{
    const toml::node* node = find(name);
    if (node == nullptr)
    {
        return;
    }
    if (!node->is_integer() || node->as_integer()->get() < lowest ||
        node->as_integer()->get() > highest)
    {
        add_error(name, describe(node),
                  fmt::format("an integer from {} to {}", lowest, highest));
        return;
    }
    value = node->as_integer()->get();
}

void table_reader::floating_point(const char* name, double& value,
                                  double lowest, double highest)
{
    const toml::node* node = find(name);
    if (node == nullptr)
    {
        return;
    }
    const double found = node->is_number()
                             ? node->value<double>().value_or(lowest - 1)
                             : lowest - 1;
    // Negated, so that NaN is rejected too.
    if (!(found >= lowest && found <= highest))
    {
        add_error(name, describe(node),
                  fmt::format("a number from {} to {}", lowest, highest));
        return;
    }
    value = found;
}

void table_reader::add_error(std::string_view name, std::string_view found,
                             std::string_view expected)
{
    errors_.add(path_of(name), found, expected);
}

void table_reader::report_unknown_keys()
{
    if (table_ == nullptr)
    {
        return;
    }
    std::string expected;
    for (const std::string& name : known_keys_)
    {
        expected += (expected.empty() ? "one of " : ", ") + name;
    }
    for (const auto& [key, node] : *table_)
    {
        if (known_keys_.count(key.str()) == 0)
        {
            add_error(key.str(), "an unknown key", expected);
        }
    }
}

std::string table_reader::path_of(std::string_view name) const
{
    return path_.empty() ? std::string(name)
                         : fmt::format("{}.{}", path_, name);
}

} // namespace egretspindle
