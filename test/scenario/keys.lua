-- A withdrawn key stops working on every host within 5 s, also for open streams, and no key is ever
-- forwarded to a target.
dofile(script_dir .. "/lib.lua")

local f = Fleet.new{zones = {"orange-valley", "cedros", "la-brea"}, services = {"weighbridge"},
    engine = {["token-ms"] = 20}}
f:boot(default_sheet(f))
local id, key = f:add_key("trust-gate")
local _, other, version = f:add_key("atlas-sites")
f:wait_version(version, 5)

-- A stream that would take about 12 s is open on every host.
local streams = {}
for i, host in ipairs(f.host_names) do
    streams[i] = start_request(f:completion_request(host, key, {stream = true, max_tokens = 600, timeout = 60}))
end
for i in ipairs(f.host_names) do
    eventually(10, "stream " .. i .. " has begun", function() return poll_request(streams[i]).body:find("data:") end)
end
f:withdraw_key(id)
local withdrawn_at = now()
for i, host in ipairs(f.host_names) do
    eventually(5 - (now() - withdrawn_at), "the key is refused by " .. host,
        function() return f:complete(host, key).status == 401 end)
    eventually(5 - (now() - withdrawn_at), "the open stream on " .. host .. " ends",
        function() return poll_request(streams[i]).done end)
    expect(poll_request(streams[i]).body:find("event: error") and poll_request(streams[i]).body:find("withdrawn"),
        "the stream ends with an explicit error")
    expect(f:complete(host, other).status == 200, "another key still works on " .. host)
end

-- Keys in unusual places: only the Authorization header is used, and no header with a key is
-- forwarded.
local host = f.host_names[1]
local bearer = "Bearer " .. other
local spellings = {
    {Authorization = bearer}, {AUTHORIZATION = bearer}, {authorization = "bEaReR " .. other},
    {Authorization = bearer, ["X-Api-Key"] = other}, {Authorization = bearer, Cookie = "key=" .. other},
    {Authorization = bearer, ["Proxy-Authorization"] = bearer},
    {Authorization = bearer, ["X-Forwarded-Authorization"] = bearer},
    {Authorization = bearer, ["Content-Type"] = "application/json"},
    {Authorization = bearer, ["Idempotency-Key"] = other}, {Authorization = bearer, TE = "trailers", Trailer = other}}
for _, headers in ipairs(spellings) do
    expect(f:complete(host, nil, {headers = headers}).status == 200, "a completion with a key in unusual headers succeeds")
    expect(f:call(host, nil, "weighbridge", {headers = headers}).status == 200, "a service call with a key in unusual headers succeeds")
end
expect(f:call(host, other, "weighbridge", {path = "/x?key=" .. other}).status == 400, "a key in the query is refused")
expect(f:call(host, other, "weighbridge", {path = "/" .. other}).status == 400, "a key in the path is refused")
expect(f:complete(host, other, {prompt = "my key is " .. other}).status == 400, "a key in the body is refused")
for _, name in ipairs(f.target_names) do
    expect(f:record(name).requests_with_key == 0, "no request with a key reaches " .. name)
end
