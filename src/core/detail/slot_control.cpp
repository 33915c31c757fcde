#include "goldcrestgate/core/detail/slot_control.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace goldcrestgate::core::detail
{

namespace
{

/// Peers detect a change in the set of live instances within about two
/// heartbeats of each other. Slots transferred earlier would be lost, as a
/// receiver drops messages of a different view.
constexpr duration view_settling_time = std::chrono::milliseconds{500};

bool is_live(instance_view const& view)
{
    return view.incarnation && (view.state == instance_state::live ||
                                view.state == instance_state::suspect);
}

} // namespace

slot_control::slot_control(dispatcher_state& state)
    : state_(state)
{
}

void slot_control::view_changed(event_context& context)
{
    std::uint64_t const before = view_id_;
    rebuild_view();
    if (view_id_ != before)
    {
        restart(context);
    }
}

void slot_control::restart(event_context& context)
{
    rebuild_view();
    auto const own =
        std::find(instances_by_rank_.begin(), instances_by_rank_.end(),
                  state_.options.self.instance);
    auto const rank =
        static_cast<std::uint32_t>(own - instances_by_rank_.begin());
    auto const count = static_cast<std::uint32_t>(instances_by_rank_.size());
    state_.router.set_view(rank, count);
    transfers_allowed_from_ = context.now + view_settling_time;
}

void slot_control::rebuild_view()
{
    instance_key const& self = state_.options.self;
    std::vector<std::pair<instance_id, incarnation>> live{
        {self.instance, self.incarnation}};
    for (instance_view const& view : state_.members->instances())
    {
        if (view.domain == self.domain && is_live(view))
        {
            live.emplace_back(view.instance, *view.incarnation);
        }
    }
    std::sort(live.begin(), live.end());
    instances_by_rank_.clear();
    view_id_ = 0;
    for (auto const& [instance, process] : live)
    {
        instances_by_rank_.push_back(instance);
        view_id_ = core::detail::mix_hash(view_id_, instance.value());
        view_id_ = core::detail::mix_hash(view_id_, process.value());
    }
}

void slot_control::received(instance_key const& from,
                            slot_message const& message)
{
    auto const found = std::lower_bound(
        instances_by_rank_.begin(), instances_by_rank_.end(), from.instance);
    bool const is_peer =
        found != instances_by_rank_.end() && *found == from.instance;
    if (!is_peer || message.view != view_id_)
    {
        return;
    }
    auto const rank =
        static_cast<std::uint32_t>(found - instances_by_rank_.begin());
    state_.router.receive_slots({rank, message.need, message.transfers});
}

void slot_control::exchange(event_context& context)
{
    if (instances_by_rank_.size() < 2 || context.now < transfers_allowed_from_)
    {
        return;
    }
    updates_.clear();
    state_.router.exchange_slots(
        static_cast<std::uint32_t>(state_.queue.size()), context.now, updates_);
    for (slot_update& update : updates_)
    {
        instance_id const peer = instances_by_rank_[update.rank];
        if (!state_.members->is_connected(peer))
        {
            // Without a connection the message would be dropped and its slots
            // lost, so this instance takes them back.
            state_.router.receive_slots(
                {update.rank, std::nullopt, update.transfers});
            continue;
        }
        context.out.emplace_back(
            send_to_peer{peer, slot_message{view_id_, update.need,
                                            std::move(update.transfers)}});
    }
}

} // namespace goldcrestgate::core::detail
