#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestgate::core
{

/// @brief An integer identifier that does not convert to other identifiers.
/// @tparam Tag distinguishes the identifier types
/// @tparam Rep the unsigned integer that holds the value
template <typename Tag, typename Rep>
class strong_id
{
public:
    using rep = Rep;

    constexpr strong_id() = default;

    constexpr explicit strong_id(Rep value)
        : value_(value)
    {
    }

    /// @brief Returns the integer value.
    [[nodiscard]] constexpr Rep value() const
    {
        return value_;
    }

    friend constexpr auto operator<=>(strong_id, strong_id) = default;

private:
    Rep value_ = 0;
};

/// A failure domain.
using domain_id = strong_id<struct domain_tag, std::uint16_t>;

/// An entry instance; unique among all failure domains.
using instance_id = strong_id<struct instance_tag, std::uint32_t>;

/// One process lifetime of an entry instance.
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;

/// A backend server; unique in its failure domain.
using server_id = strong_id<struct server_tag, std::uint32_t>;

/// A service; the index of its path in a settings snapshot's name table.
using service_id = strong_id<struct service_tag, std::uint32_t>;

/// A team; the index of its name in a settings snapshot's name table.
using team_id = strong_id<struct team_tag, std::uint32_t>;

/// The index of a task in its job, from 0.
using task_index = strong_id<struct task_index_tag, std::uint16_t>;

/// A caller's open request in this process.
using request_id = strong_id<struct request_tag, std::uint64_t>;

/// Number of a copy set within a chain, counted from 1 in the order in which
/// the owner proposes the sets.
using copy_epoch = strong_id<struct copy_epoch_tag, std::uint32_t>;

/// The log offset after the last applied settings record.
using settings_version = strong_id<struct settings_version_tag, std::uint64_t>;

/// @brief One process lifetime of one entry instance, with its failure domain.
struct instance_key
{
    domain_id domain;
    instance_id instance;
    core::incarnation incarnation;

    friend auto operator<=>(instance_key const&, instance_key const&) = default;
};

/// @brief The id of a submission; contains the incarnation that owns it.
///
/// Only that incarnation starts tasks of the submission.
struct submission_id
{
    instance_key owner;
    std::uint64_t sequence = 0;

    friend auto operator<=>(submission_id const&,
                            submission_id const&) = default;
};

/// @brief One task of a submission.
struct task_key
{
    submission_id submission;
    task_index task;

    friend auto operator<=>(task_key const&, task_key const&) = default;
};

/// @brief Formats an id as `g1-<domain>-<instance>-<incarnation>-<sequence>`,
/// all numbers in lower-case hexadecimal.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string to_string(submission_id const& id);

/// @brief Parses the text form of a submission id.
/// @param text the form that @ref to_string writes
/// @return the id, or nothing if @a text is malformed
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::optional<submission_id>
parse_submission_id(std::string_view text);

namespace detail
{

/// @brief Mixes a value into a hash (the finalizer of splitmix64).
constexpr std::size_t mix_hash(std::size_t seed, std::uint64_t value)
{
    std::uint64_t mixed = seed + 0x9e3779b97f4a7c15ULL + value;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

} // namespace detail

} // namespace goldcrestgate::core

template <typename Tag, typename Rep>
struct std::hash<goldcrestgate::core::strong_id<Tag, Rep>>
{
    std::size_t operator()(goldcrestgate::core::strong_id<Tag, Rep> id) const
    {
        return goldcrestgate::core::detail::mix_hash(0, id.value());
    }
};

template <>
struct std::hash<goldcrestgate::core::instance_key>
{
    std::size_t operator()(goldcrestgate::core::instance_key const& key) const
    {
        using goldcrestgate::core::detail::mix_hash;
        std::size_t mixed = mix_hash(0, key.domain.value());
        mixed = mix_hash(mixed, key.instance.value());
        return mix_hash(mixed, key.incarnation.value());
    }
};

template <>
struct std::hash<goldcrestgate::core::submission_id>
{
    std::size_t operator()(goldcrestgate::core::submission_id const& id) const
    {
        std::hash<goldcrestgate::core::instance_key> const owner_hash;
        return goldcrestgate::core::detail::mix_hash(owner_hash(id.owner),
                                                     id.sequence);
    }
};

template <>
struct std::hash<goldcrestgate::core::task_key>
{
    std::size_t operator()(goldcrestgate::core::task_key const& key) const
    {
        std::hash<goldcrestgate::core::submission_id> const submission_hash;
        return goldcrestgate::core::detail::mix_hash(
            submission_hash(key.submission), key.task.value());
    }
};
