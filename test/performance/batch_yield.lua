-- Measures how batch jobs affect the latency of online requests and how much idle capacity they
-- use, at the fleet sizes of both users. Baselines: online requests alone, and batch items sent as
-- online requests, which do not yield.
script_dir = script_dir .. "/../scenario"
dofile(script_dir .. "/lib.lua")

local users = {
    {name = "Trust", zones = {"orange-valley", "cedros", "la-brea", "san-fernando"}, engines = 10, model = "intake-lm"},
    {name = "Atlas", zones = {"rabat-a", "sale-b", "kenitra-c", "temara-d"}, engines = 12, model = "contrat-assist"}}
local seconds, slots, token_ms, prefill_ms, cached_ms = 20, 8, 20, 40, 10
local online_tokens, batch_tokens, online_rate = 20, 30, 5

local function run(user, label, reserve, batch, as_online)
    local f = Fleet.new{zones = user.zones, hosts_per_zone = 2, engines_per_zone = user.engines // 4, model = user.model,
        engine = {slots = slots, ["token-ms"] = token_ms, ["prefill-ms"] = prefill_ms, ["cached-prefill-ms"] = cached_ms}}
    local extra = user.engines - 4 * (user.engines // 4)
    for i, p in ipairs(extra > 0 and free_ports(extra) or {}) do
        local name = user.zones[i] .. "-x"
        f.targets[name] = {name = name, zone = user.zones[i], http = p, kind = "engine", serves = {user.model}}
        f.target_names[#f.target_names + 1] = name
    end
    local list = {}
    for i = 1, 9 do list[i] = {name = "customer-" .. i, rate = 1000, burst = 1000} end
    f:boot(default_sheet(f, {customers = list, reserve = reserve}))
    local urls, arguments = {}, {}
    for _, h in ipairs(f.host_names) do urls[#urls + 1] = f:url(h) end
    arguments = {"--hosts", table.concat(urls, ","), "--duration-s", tostring(seconds), "--seed", "5", "--model", user.model,
        "--max-tokens", tostring(online_tokens), "--prompt-groups", "12"}
    local version
    for i = 1, 8 do
        local _, key, v = f:add_key("customer-" .. i)
        version = v
        arguments[#arguments + 1] = "--customer"
        arguments[#arguments + 1] = "customer-" .. i .. ":" .. key .. ":" .. online_rate
    end
    local _, batch_key, v = f:add_key("customer-9")
    f:wait_version(v, 5)
    local capacity = user.engines * slots
    local item_s = (cached_ms + batch_tokens * token_ms) / 1000
    if batch then
        arguments[#arguments + 1] = "--batch"
        arguments[#arguments + 1] = batch_key .. ":" .. math.floor(capacity / item_s * (seconds + 10)) .. ":" .. batch_tokens
    end
    if as_online then
        local rate = capacity / item_s * 0.75
        start("flood", "eelgrass_load", {"--hosts", table.concat(urls, ","), "--duration-s", tostring(seconds), "--seed", "9",
            "--model", user.model, "--max-tokens", tostring(batch_tokens), "--prompt-groups", "8",
            "--customer", "customer-9:" .. batch_key .. ":" .. rate})
    end
    start("load", "eelgrass_load", arguments)
    eventually(120, "the load ends", function() return ended("load") == 0 end)
    local text = read_file(run_dir() .. "/load.log")
    write_file("load.log", "")
    local p50, p95, p99 = text:match("first token: n %d+, p50 ([%d.]+) ms, p95 ([%d.]+) ms, p99 ([%d.]+) ms")
    local n = tonumber(text:match("first token: n (%d+)"))
    local between = text:match("between tokens: n %d+, p50 [%d.]+ ms, p95 ([%d.]+)")
    local done = tonumber(text:match("batch job%S+ (%d+) items") or 0)
    local elapsed = tonumber(text:match("items done in ([%d.]+) s") or seconds)
    local online_share = n * ((cached_ms + online_tokens * token_ms) / 1000) / (seconds * capacity)
    local batch_share = done * item_s / (elapsed * capacity)
    print(string.format("| %s, %d engines | %s | %s | %s | %s | %s | %.1f | %.0f%% | %.0f%% |", user.name, user.engines, label, p50, p95, p99,
        between or "-", done / elapsed, 100 * online_share, 100 * batch_share / (1 - online_share)))
    for _, h in ipairs(f.host_names) do signal(h, "KILL") end
    for _, t in ipairs(f.target_names) do signal(t, "KILL") end
    signal("platform", "KILL")
    if as_online then signal("flood", "KILL") end
end

print("| user | setting | first token p50 ms | p95 | p99 | between tokens p95 ms | batch items/s | online share | share of idle capacity used |")
print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
for _, user in ipairs(users) do
    run(user, "online alone", 10, false)
    run(user, "batch, reserve 0%", 0, true)
    run(user, "batch, reserve 10%", 10, true)
    run(user, "batch, reserve 25%", 25, true)
    run(user, "batch as online requests", 10, false, true)
end
