-- A graceful shutdown interrupts no request; a killed host fails only the requests it was serving;
-- a leaving target gets no new requests after 3 s.
dofile(script_dir .. "/lib.lua")

local f = Fleet.new{zones = {"orange-valley", "cedros"}, engine = {["token-ms"] = 20}}
f:boot(default_sheet(f))
local _, key, version = f:add_key("trust-gate")
f:wait_version(version, 5)
local a, b = f.host_names[1], f.host_names[2]

local function start_requests(host)
    local list = {}
    for i = 1, 6 do
        list[i] = start_request(f:completion_request(host, key, {stream = i % 2 == 0, max_tokens = 80, timeout = 30, prompt = "lot " .. i}))
    end
    return list
end
local function complete(answer) return answer.status == 200 and (answer.body:find("%[DONE%]") or answer.body:find("t79 ")) end

local in_flight = start_requests(a)
eventually(5, "the requests are being served", function() return poll_request(in_flight[2]).body:find("data:") end)
f:stop(a)
eventually(3, "readiness fails at once", function() return not f:ready(a) end)
expect(f:complete(a, key).status == 200, "a draining host still serves requests that the load balancer sends")
for i, r in ipairs(in_flight) do
    eventually(20, "request " .. i .. " ends", function() return poll_request(r).done end)
    expect(complete(poll_request(r)), "request " .. i .. " is complete: " .. poll_request(r).status)
end
eventually(10, "the host exits with status 0", function() return ended(a) == 0 end)

-- SIGKILL fails only the requests that the host was serving.
f:start_host(a)
eventually(10, "the restarted host is ready", function() return f:ready(a) end)
local lost, kept = start_requests(a), start_requests(b)
eventually(5, "the requests are being served", function() return poll_request(lost[2]).body:find("data:") and poll_request(kept[2]).body:find("data:") end)
f:kill(a)
for i, r in ipairs(kept) do
    eventually(20, "request " .. i .. " of the other host ends", function() return poll_request(r).done end)
    expect(complete(poll_request(r)), "request " .. i .. " of the other host is complete")
end
f:start_host(a)
eventually(10, "the restarted host is ready", function() return f:ready(a) end)

-- A target that the host list marks as leaving.
local target = "orange-valley-e1"
f.targets[target].leaving = true
f:publish_hosts()
run_for(3)
local before = #(f:record(target).runs or {})
for i = 1, 10 do
    expect(f:complete(a, key, {prompt = "after " .. i, max_tokens = 2}).status == 200, "a request through the first host is served by another target")
    expect(f:complete(b, key, {prompt = "after " .. i, max_tokens = 2}).status == 200, "a request through the second host is served by another target")
end
expect(#(f:record(target).runs or {}) == before, "a leaving target gets no new requests")
