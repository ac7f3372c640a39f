-- While the key-value store is down, slow or loses responses, online requests are served and batch
-- jobs keep their guarantees; its recovery causes no burst of calls.
dofile(script_dir .. "/lib.lua")

local f = Fleet.new{zones = {"orange-valley", "cedros", "la-brea"}, engine = {["token-ms"] = 10, ["prefill-ms"] = 10}}
f:boot(default_sheet(f, {reserve = 0}))
local _, key, version = f:add_key("trust-accounts")
f:wait_version(version, 5)
local items = 150
local answer = f:submit(f.host_names[1], key, batch_lines(items, {max_tokens = 20}))
expect(answer.status == 200, "the job is accepted")
local job = json_decode(answer.body).id
eventually(20, "the job runs", function()
    local s = f:job(f.host_names[2], key, job)
    return s.request_counts and s.request_counts.completed > 3
end)

f:control("platform", {down = true, reset_stats = true})
local began = now()
always(8, "online requests are served during the outage", function()
    for _, h in ipairs(f.host_names) do if f:complete(h, key).status ~= 200 then return false end end
    return true
end)
local refused = f:submit(f.host_names[2], key, batch_lines(3))
expect(refused.status >= 500 and refused.headers["Retry-After"], "a job is refused during the outage, with a Retry-After header: " .. refused.body)
expect(f:admin("POST", "/keys", json_encode{customer = "trust-gate"}).status == 503, "a key change is refused during the outage")

-- The status and the results so far are readable on every host, served from the stored copies.
for _, h in ipairs(f.host_names) do
    local so_far, n = f:results(h, key, job)
    expect(so_far and n > 0, "results are readable during the outage on " .. h)
    expect(f:job(h, key, job).request_counts.completed > 0, "the status is readable during the outage on " .. h)
end
expect(f:cancel_job(f.host_names[2], key, job).status == 503, "a cancellation is refused during the outage")

f:control("platform", {down = false, delay_ms = 300})
run_for(2)
f:control("platform", {delay_ms = 0, truncate_responses = 3})
eventually(60, "the job finishes after the outage", function() return f:job(f.host_names[3], key, job).status == "finished" end)
local results, count = f:results(f.host_names[3], key, job)
expect(results and count == items, "each item has one result: " .. tostring(count))
local stats = json_decode(http{url = f:platform_url() .. "/control/stats"}.body)
print("peak key-value calls per second during outage and recovery: " .. stats.peak_per_second)
expect(stats.peak_per_second <= 300, "at most 300 key-value calls per second: " .. stats.peak_per_second)
local _, after = f:add_key("trust-gate")
expect(after ~= nil, "changes are accepted after the outage")
