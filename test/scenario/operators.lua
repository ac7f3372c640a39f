-- With concurrent changes, lost responses and frozen hosts, an accepted configuration is in force
-- on every host within seconds and never reverts.
dofile(script_dir .. "/lib.lua")

local f = Fleet.new{zones = {"orange-valley", "cedros"}, hosts_per_zone = 2}
f:boot(default_sheet(f))
local a, b = f.host_names[1], f.host_names[3]
local function sheet_with(rate)
    return default_sheet(f, {customers = {{name = "trust-gate", rate = rate, burst = 100}, {name = "atlas-sites", rate = 100, burst = 100}}})
end
local start_version = f:version(a)

-- Two operators change the sheet from the same version: one succeeds, the other is told the
-- difference.
local function apply_from(host, version, rate)
    return start_request{url = f:url(host) .. "/admin/v1/sheet?from_version=" .. version, method = "POST", body = sheet_with(rate),
        type = "text/csv", headers = {Authorization = "Bearer " .. OPERATOR_KEY}}
end
for round = 1, 5 do
    local from = json_decode(f:admin("GET", "/sheet").body).version
    local x, y = apply_from(a, from, 100 + round), apply_from(b, from, 200 + round)
    eventually(10, "both changes get a response", function() return poll_request(x).done and poll_request(y).done end)
    local statuses = {poll_request(x).status, poll_request(y).status}
    table.sort(statuses)
    expect(statuses[1] == 200 and statuses[2] == 409, "one change is accepted and one conflicts: " .. statuses[1] .. " " .. statuses[2])
    local loser = poll_request(x).status == 409 and poll_request(x) or poll_request(y)
    expect(loser.body:find("is in force") and loser.body:find("trust%-gate"), "the conflict names the difference: " .. loser.body)
end

-- Concurrent key changes are all applied, each on top of the one before.
local racing = {}
for i = 1, 6 do
    racing[i] = start_request{url = f:url(f.host_names[(i - 1) % 4 + 1]) .. "/admin/v1/keys", method = "POST",
        body = json_encode{customer = "trust-gate"}, headers = {Authorization = "Bearer " .. OPERATOR_KEY}}
end
local keys = {}
for i = 1, 6 do
    eventually(15, "key " .. i .. " is created", function() return poll_request(racing[i]).done end)
    expect(poll_request(racing[i]).status == 200, "key " .. i .. " is accepted: " .. poll_request(racing[i]).body)
    keys[i] = json_decode(poll_request(racing[i]).body)
end
local newest = 0
for i = 1, 6 do newest = math.max(newest, keys[i].version) end
f:wait_version(newest, 5)
for i = 1, 6 do
    for _, h in ipairs(f.host_names) do expect(f:complete(h, keys[i].key).status == 200, "key " .. i .. " works on " .. h) end
end

-- The store's response is lost after the change took effect: the operator is told that it is in
-- force.
f:control("platform", {truncate_responses = 2})
local version = f:apply(sheet_with(333))
f:wait_version(version, 8)
local sheet_now = json_decode(f:admin("GET", "/sheet", "", b).body).sheet
expect(sheet_now:find("333"), "the change is in force")

-- Neither a resumed host nor a restarted one brings an older version back.
f:freeze(b)
local newer = f:apply(sheet_with(444), a)
eventually(8, "the change is in force on the other hosts", function() return f:version(a) == newer and f:version(f.host_names[2]) == newer and f:version(f.host_names[4]) == newer end)
f:thaw(b)
eventually(8, "the change is in force on the resumed host", function() return f:version(b) == newer end)
f:kill(f.host_names[2])
f:start_host(f.host_names[2])
always(4, "no host reverts to an older version", function()
    for _, h in ipairs{a, b, f.host_names[4]} do if f:version(h) < newer then return false end end
    return true
end)
for _, h in ipairs(f.host_names) do
    local last = 0
    for _, e in ipairs(timeline_events(h, "configuration_in_force")) do
        if last > 0 and h ~= f.host_names[2] then expect(tonumber(e.version) > last, "configuration versions only increase on " .. h) end
        last = tonumber(e.version)
    end
end

-- The status lists every host's version and marks hosts that do not respond.
f:kill(f.host_names[4])
eventually(10, "a killed host is marked as not heard from", function()
    for _, h in ipairs(json_decode(f:admin("GET", "/config/status", "", b).body).hosts) do
        if h.host == f.host_names[4] and h.status == "not heard from" then return true end
    end
end)
local changes = 0
for _, h in ipairs(f.host_names) do
    for _, e in ipairs(timeline_events(h, "configuration_applied")) do
        changes = changes + 1
        expect(e.author and e.from_version and e.to_version, "a change is recorded with its author and both versions")
    end
end
expect(changes >= 8, "every change is in the timeline: " .. changes)
