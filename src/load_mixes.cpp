#include "load_mix.hpp"

namespace arbutusgate {

namespace {

constexpr std::string_view kestrelveld = R"(
name: kestrelveld
pipelines:
  quote:
    share: 0.25
    deadline_ms: 6000
    max_tokens: 128
    stream_share: 0.5
    stages: [account, encode, retrieve, rerank, price, draft]
    generates: [draft]
  span-check:
    share: 0.1
    deadline_ms: 6000
    max_tokens: 64
    stages: [encode, retrieve, check]
    generates: [check]
  roof-sheet-check:
    share: 0.1
    deadline_ms: 6000
    max_tokens: 64
    stages: [encode, retrieve, rerank, check]
    generates: [check]
  chat:
    share: 0.2
    deadline_ms: 20000
    max_tokens: 192
    stream_share: 1
    stages: [encode, retrieve, rerank, reply]
    generates: [reply]
  order:
    share: 0.1
    deadline_ms: 6000
    repeat_share: 0.4
    stages: [account, stock, delivery, confirm]
    non_idempotent: [confirm]
  stock-lookup:
    share: 0.25
    deadline_ms: 2000
    stages: [account, stock, delivery]
accounts:
  installers:
    key: example-kestrelveld-installers
    share: 4
  homeowners:
    key: example-kestrelveld-homeowners
    share: 3
  dealer-portal:
    key: example-kestrelveld-dealer-portal
    share: 1
    pipelines: [quote, order, stock-lookup]
  call-centre:
    key: example-kestrelveld-call-centre
    share: 1
  marketplace:
    key: example-kestrelveld-marketplace
    share: 0.5
    pipelines: [quote, stock-lookup]
)";

// Consultations are shorter than their limit allows, so that they end within a
// run of some tens of seconds.
constexpr std::string_view brazos = R"(
name: brazos
pipelines:
  consultation:
    share: 0.08
    deadline_ms: 600000
    max_tokens: 640
    stream_share: 1
    stages: [booking, encode, retrieve, rerank, consult]
    generates: [consult]
  measuring-coach:
    share: 0.17
    deadline_ms: 60000
    max_tokens: 256
    stream_share: 1
    stages: [photo, encode, retrieve, coach]
    generates: [coach]
  fit-notes:
    share: 0.2
    deadline_ms: 6000
    max_tokens: 96
    stages: [photo, encode, retrieve, rerank, notes]
    generates: [notes]
  coat-order:
    share: 0.1
    deadline_ms: 6000
    repeat_share: 0.4
    stages: [account, retrieve, place]
    non_idempotent: [place]
  coat-refund:
    share: 0.05
    deadline_ms: 6000
    repeat_share: 0.4
    stages: [account, lookup, refund]
    non_idempotent: [refund]
  shelter-stock:
    share: 0.2
    deadline_ms: 2000
    stages: [account, retrieve, stock]
  size-chart:
    share: 0.2
    deadline_ms: 2000
    stages: [encode, retrieve, rerank]
accounts:
  groomers:
    key: example-brazos-groomers
    share: 4
  storefront-web:
    key: example-brazos-storefront-web
    share: 3
  shelter-network:
    key: example-brazos-shelter-network
    share: 1
    pipelines: [coat-order, coat-refund, shelter-stock, size-chart]
  mobile-app:
    key: example-brazos-mobile-app
    share: 1
  partner-stores:
    key: example-brazos-partner-stores
    share: 0.5
    pipelines: [size-chart, fit-notes, coat-order]
)";

} // namespace

std::string_view built_in_mix(std::string_view name)
{
    if (name == "kestrelveld")
        return kestrelveld;
    return name == "brazos" ? brazos : std::string_view{};
}

} // namespace arbutusgate
