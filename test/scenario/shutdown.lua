-- A graceful shutdown cuts no request; a killed host fails only what it had in hand; a leaving
-- target gets nothing new after 3 s.
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
local function whole(answer) return answer.status == 200 and (answer.body:find("%[DONE%]") or answer.body:find("t79 ")) end

local in_hand = start_requests(a)
eventually(5, "requests run", function() return poll_request(in_hand[2]).body:find("data:") end)
f:stop(a)
eventually(3, "readiness fails at once", function() return not f:ready(a) end)
expect(f:complete(a, key).status == 200, "a leaving host still answers while the balancer turns away")
for i, r in ipairs(in_hand) do
    eventually(20, "request " .. i .. " ends", function() return poll_request(r).done end)
    expect(whole(poll_request(r)), "request " .. i .. " is whole: " .. poll_request(r).status)
end
eventually(10, "the host ends by itself", function() return ended(a) == 0 end)

-- kill -9 fails only what the host had in hand.
f:start_host(a)
eventually(10, "the host is back", function() return f:ready(a) end)
local lost, kept = start_requests(a), start_requests(b)
eventually(5, "requests run", function() return poll_request(lost[2]).body:find("data:") and poll_request(kept[2]).body:find("data:") end)
f:kill(a)
for i, r in ipairs(kept) do
    eventually(20, "request " .. i .. " of the other host ends", function() return poll_request(r).done end)
    expect(whole(poll_request(r)), "request " .. i .. " of the other host is whole")
end
f:start_host(a)
eventually(10, "the host is back", function() return f:ready(a) end)

-- A leaving target.
local target = "orange-valley-e1"
f.targets[target].leaving = true
f:publish_hosts()
sleep(3)
local before = #(f:record(target).runs or {})
for i = 1, 10 do
    expect(f:complete(a, key, {prompt = "after " .. i, max_tokens = 2}).status == 200, "requests go elsewhere")
    expect(f:complete(b, key, {prompt = "after " .. i, max_tokens = 2}).status == 200, "from every host")
end
expect(#(f:record(target).runs or {}) == before, "a leaving target gets nothing new")
