#include "goldcrestgate/core/leasing/given_up_runs.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace goldcrestgate::core
{

namespace
{

/// Orders without an answer were seen to take effect up to 12 s later; a run
/// that such an order starts or keeps alive is listed within a second.
constexpr duration retention_time = std::chrono::seconds{14};

/// Bounds the memory to about 300 kB when many executors are lost at once.
constexpr std::size_t max_records = 4096;

} // namespace

void given_up_runs::add(given_up_run const& given_up)
{
    while (!records_.empty() && records_.front().given_up_at + retention_time <=
                                    given_up.given_up_at)
    {
        records_.pop_front();
    }
    if (find(given_up.executor, given_up.run, given_up.given_up_at))
    {
        return;
    }
    if (records_.size() >= max_records)
    {
        records_.pop_front();
    }
    records_.push_back(given_up);
}

std::optional<given_up_run> given_up_runs::find(executor_id executor,
                                                task_run const& run,
                                                time_point now) const
{
    auto const found = std::ranges::find_if(
        records_,
        [&](given_up_run const& record)
        {
            return record.executor == executor && record.run == run &&
                   record.given_up_at + retention_time > now;
        });
    return found == records_.end() ? std::nullopt : std::optional{*found};
}

} // namespace goldcrestgate::core
