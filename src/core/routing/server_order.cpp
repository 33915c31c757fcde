#include "goldcrestgate/core/routing/server_order.hpp"

#include <algorithm>
#include <bit>
#include <numeric>

namespace goldcrestgate::core
{

namespace
{

constexpr std::uint32_t word_bits = 64;

constexpr std::uint64_t bit(std::uint32_t index)
{
    return std::uint64_t{1} << (index % word_bits);
}

// A mask of the bits of a word from an index on.
constexpr std::uint64_t from_bit(std::uint32_t index)
{
    return ~std::uint64_t{0} << (index % word_bits);
}

constexpr std::size_t words_for(std::size_t bits)
{
    return (bits + word_bits - 1) / word_bits;
}

std::uint32_t lowest_set_bit(std::size_t word, std::uint64_t bits)
{
    return static_cast<std::uint32_t>(word) * word_bits +
           static_cast<std::uint32_t>(std::countr_zero(bits));
}

} // namespace

void server_order::rebuild(std::span<float const> log_factors)
{
    by_rank_.resize(log_factors.size());
    std::iota(by_rank_.begin(), by_rank_.end(), 0);
    std::sort(by_rank_.begin(), by_rank_.end(),
              [&](server_index left, server_index right)
              {
                  return log_factors[left] != log_factors[right]
                             ? log_factors[left] < log_factors[right]
                             : left < right;
              });
    rank_of_.resize(log_factors.size());
    for (std::uint32_t rank = 0; rank < by_rank_.size(); ++rank)
    {
        rank_of_[by_rank_[rank]] = rank;
    }
    words_.assign(words_for(log_factors.size()), 0);
    summary_.assign(words_for(words_.size()), 0);
}

void server_order::set(server_index server, bool usable)
{
    std::uint32_t const rank = rank_of_[server];
    std::uint32_t const word = rank / word_bits;
    if (usable)
    {
        words_[word] |= bit(rank);
        summary_[word / word_bits] |= bit(word);
        return;
    }
    words_[word] &= ~bit(rank);
    if (words_[word] == 0)
    {
        summary_[word / word_bits] &= ~bit(word);
    }
}

std::optional<std::uint32_t> server_order::next_usable(std::uint32_t rank) const
{
    std::uint32_t const first = rank / word_bits;
    if (first >= words_.size())
    {
        return std::nullopt;
    }
    std::uint64_t const remaining_bits = words_[first] & from_bit(rank);
    if (remaining_bits != 0)
    {
        return lowest_set_bit(first, remaining_bits);
    }
    std::uint32_t const after = first + 1;
    for (std::size_t i = after / word_bits; i < summary_.size(); ++i)
    {
        bool const is_first = i == after / word_bits;
        std::uint64_t const non_empty_words =
            summary_[i] & (is_first ? from_bit(after) : ~std::uint64_t{0});
        if (non_empty_words != 0)
        {
            std::uint32_t const word = lowest_set_bit(i, non_empty_words);
            return lowest_set_bit(word, words_[word]);
        }
    }
    return std::nullopt;
}

server_index server_order::at(std::uint32_t rank) const
{
    return by_rank_[rank];
}

std::size_t server_order::size() const
{
    return by_rank_.size();
}

} // namespace goldcrestgate::core
