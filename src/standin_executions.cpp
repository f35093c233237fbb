#include "standin_executions.hpp"

#include <boost/json/array.hpp>

namespace arbutusgate {

namespace json = boost::json;

namespace {

// About 200 MB; far more records than a load run of limited length creates.
constexpr std::size_t max_records = 1'000'000;

} // namespace

void execution_log::add(const execution_record& work)
{
    const auto id =
        work.request_id + '\n' + work.stage + '\n' + work.idempotency_key;
    std::lock_guard lock(mutex_);
    const auto      known = index_.find(id);
    if (known != index_.end()) {
        ++records_[known->second].count;
        return;
    }
    if (records_.size() == max_records) {
        complete_ = false;
        return;
    }
    index_.emplace(id, records_.size());
    records_.push_back(work);
    records_.back().count = 1;
}

json::object execution_log::page(std::uint64_t after, std::uint64_t limit) const
{
    std::lock_guard lock(mutex_);
    json::array     rows;
    std::uint64_t   n = after;
    for (; n < records_.size() && rows.size() < limit; ++n) {
        const auto&  it = records_[n];
        json::object row{{"request_id", it.request_id},
                         {"stage", it.stage},
                         {"count", it.count}};
        if (!it.idempotency_key.empty())
            row["idempotency_key"] = it.idempotency_key;
        if (!it.tag.empty())
            row["tag"] = it.tag;
        rows.push_back(std::move(row));
    }
    return {{"complete", complete_},
            {"next", n},
            {"total", records_.size()},
            {"executions", std::move(rows)}};
}

} // namespace arbutusgate
