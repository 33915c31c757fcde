#include "goldcrestgate/core/leasing/serving_order.hpp"

namespace goldcrestgate::core
{

serving_position serving_position_of(serving_input const& job, time_point now)
{
    if (job.latest_start < now)
    {
        return {job.started ? serving_class::late_started : serving_class::late,
                job.due};
    }
    return {job.needs_fast_executor ? serving_class::needs_fast_executor
                                    : serving_class::on_time,
            job.latest_start};
}

} // namespace goldcrestgate::core
