/// \file
/// Transaction on the platform's table.

#ifndef EGRETSPINDLE_ADAPTERS_STORE_TRANSACTION_HPP
#define EGRETSPINDLE_ADAPTERS_STORE_TRANSACTION_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Expected version of a row; 0 means absent.
struct store_check
{
    std::string key;
    std::int64_t version = 0;
};

/// Visits the fields of `store_check` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const store_check* /*tag*/)
{
    visit("key", value.key);
    visit("version", value.version);
}

/// New value of a row, or its deletion.
struct store_write
{
    std::string key;
    std::string value;
    bool remove = false;
};

/// Visits the fields of `store_write` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const store_write* /*tag*/)
{
    visit("key", value.key);
    visit("value", value.value);
    visit("remove", value.remove);
}

/// Checks and writes that are applied atomically.
struct store_transaction
{
    std::string tx_id; ///< unique; a repeated commit returns the first result
    std::vector<store_check> checks;
    std::vector<store_write> writes;
};

/// Visits the fields of `store_transaction` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const store_transaction* /*tag*/)
{
    visit("tx_id", value.tx_id);
    visit("checks", value.checks);
    visit("writes", value.writes);
}

} // namespace egretspindle

#endif
