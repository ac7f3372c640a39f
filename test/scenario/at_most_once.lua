-- A call on a non-idempotent route runs at most once, and one that is reported as "not_run" has not
-- run.
dofile(script_dir .. "/lib.lua")

local f = Fleet.new{zones = {"orange-valley", "cedros"}, services = {"weighbridge"},
    engine = {slots = 1, ["token-ms"] = 50}, model = "intake-lm"}
local sheet = make_sheet{zones = f.options.zones,
    customers = {{name = "trust-gate", rate = 500, burst = 500}},
    models = {{name = "intake-lm", reserve = 0}},
    routes = {{name = "weighbridge", kind = "service"}, {name = "intake-lm", model = "intake-lm", idempotent = true},
        {name = "once-lm", model = "intake-lm"}}}
f:boot(sheet)
local _, key, version = f:add_key("trust-gate")
f:wait_version(version, 5)
local a, b = f.host_names[1], f.host_names[2]
local function pay(host, name) return f:call(host, key, "weighbridge", {body = '{"pay":"' .. name .. '"}', headers = {["Idempotency-Key"] = name}, timeout = 25}) end
local function ran(name)
    local count = 0
    for _, c in ipairs(f:record("service-weighbridge").calls) do
        if c.body:find('"' .. name .. '"', 1, true) then count = count + 1 end
    end
    return count
end

-- A repeated call is answered by any host from the stored response and does not run again.
local first = pay(a, "boat-1")
expect(first.status == 200, "the call runs: " .. first.body)
eventually(5, "the stored response is returned by the other host", function() return pay(b, "boat-1").body == first.body end)
expect(ran("boat-1") == 1, "boat-1 ran once")
expect(f:call(b, key, "weighbridge", {body = "another", headers = {["Idempotency-Key"] = "boat-1"}}).status == 409,
    "another request under the same key is a conflict")

-- The service runs the call but its response is lost: the call is not sent again.
f:control("service-weighbridge", {truncate_responses = 1})
local lost = pay(a, "boat-2")
expect(lost.status == 502 and json_decode(lost.body).error.run == "unknown", "a call whose response is lost is reported as run = unknown: " .. lost.body)
for _, host in ipairs{a, b, a} do
    local again = pay(host, "boat-2")
    expect(json_decode(again.body).error.run == "unknown", "the repeated call is still reported as run = unknown: " .. again.body)
end
expect(ran("boat-2") == 1, "boat-2 ran once")

-- While a call runs, a repeated one is refused with a time to retry after; later it gets the
-- response.
local function slow(host) return f:completion_request(host, key, {model = "once-lm", prompt = "still-running", max_tokens = 60, headers = {["Idempotency-Key"] = "slow-1"}}) end
local claims = #timeline_events(a, "claim_created")
local running = start_request(slow(a))
eventually(8, "the slow call is claimed", function() return #timeline_events(a, "claim_created") > claims end)
local early = http(slow(b))
expect(early.status == 409 and json_decode(early.body).error.code == "in_progress", "a repeated call is refused as in_progress while the first one runs: " .. early.body)
expect(json_decode(early.body).error.run == "unknown" and early.headers["Retry-After"] ~= nil, "the refusal has run = unknown and a Retry-After header")
eventually(20, "the repeated call gets the response once the first one has finished", function() return http(slow(b)).status == 200 end)
eventually(20, "the first call is answered", function() return poll_request(running).done and poll_request(running).status == 200 end)

-- The key-value store's response to the claim is lost after the write took effect.
f:control("platform", {truncate_responses = 1})
local settled = pay(a, "boat-3")
expect(settled.status == 200, "the claim is recognised as written and the call runs: " .. settled.body)
expect(ran("boat-3") == 1, "boat-3 ran once")

-- While the key-value store is down, such a call is refused as not_run and does not run.
f:control("platform", {down = true})
local refused = pay(b, "boat-4")
expect(refused.status == 503 and json_decode(refused.body).error.run == "not_run", "the call is refused as not_run: " .. refused.body)
expect(refused.headers["Retry-After"] ~= nil, "the refusal has a Retry-After header")
f:control("platform", {down = false})
expect(ran("boat-4") == 0, "boat-4 did not run")
eventually(8, "boat-4 runs once the store is back", function() return pay(b, "boat-4").status == 200 end)
expect(ran("boat-4") == 1, "boat-4 ran once")

-- Without a target the call is refused as not_run, and its claim does not block a later attempt.
f.targets["service-weighbridge"].unlisted = true
f:publish_hosts()
eventually(8, "the service has no target left", function()
    return f:call(a, key, "weighbridge").status == 503
end)
local gone = pay(a, "boat-5")
expect(gone.status == 503 and json_decode(gone.body).error.run == "not_run", "a call without a target is refused as not_run: " .. gone.body)
expect(ran("boat-5") == 0, "boat-5 did not run")
f.targets["service-weighbridge"].unlisted = false
f:publish_hosts()
eventually(8, "boat-5 runs once the service is listed again", function() return pay(b, "boat-5").status == 200 end)
expect(ran("boat-5") == 1, "boat-5 ran once")

-- The host is killed after the claim and before the call is sent: the call queues for a full
-- engine.
local busy = {}
for _, host in ipairs(f.host_names) do
    for i = 1, 3 do busy[#busy + 1] = start_request(f:completion_request(host, key, {max_tokens = 200, stream = true, timeout = 40})) end
end
eventually(8, "both engines are full", function()
    local full = 0
    for _, r in ipairs(busy) do if poll_request(r).body:find("data:") then full = full + 1 end end
    return full >= 2
end)
-- A host treats a target with one slot as full once it knows of two requests there.
eventually(8, "the host reports both engines as full", function()
    local full = 0
    for _, t in ipairs(json_decode(f:admin("GET", "/status", "", a).body).targets) do
        if t.slots == 1 and t.running + t.waiting >= 2 then full = full + 1 end
    end
    return full == 2
end)
local claimed = f:completion_request(a, key, {model = "once-lm", prompt = "claimed-and-killed", headers = {["Idempotency-Key"] = "once-1"}})
local claims_before = #timeline_events(a, "claim_created")
local waiting = start_request(claimed)
eventually(8, "the call is claimed", function() return #timeline_events(a, "claim_created") > claims_before end)
f:kill(a)
local resent = f:completion_request(b, key, {model = "once-lm", prompt = "claimed-and-killed", headers = {["Idempotency-Key"] = "once-1"}})
local unclear = http(resent)
expect(json_decode(unclear.body).error.run == "unknown", "a claim without an outcome is reported as run = unknown: " .. unclear.body)
for _, name in ipairs(f.target_names) do
    for _, run in ipairs(f:record(name).runs or {}) do
        expect(not run.prompt or not run.prompt:find("claimed%-and%-killed"), "the claimed call was not sent to " .. name)
    end
end
