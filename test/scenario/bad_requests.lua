-- Malformed, oversized and truncated requests get a JSON error with run = not_run and do not affect
-- the daemon. Idle keep-alive connections do not exhaust the threads that serve other callers.
dofile(script_dir .. "/lib.lua")

local f = Fleet.new{zones = {"orange-valley"}, daemon = {["max-callers"] = 12}}
f:boot(default_sheet(f))
local _, key, version = f:add_key("trust-gate")
f:wait_version(version, 5)
local host = f.host_names[1]
local url = f:url(host)
local auth = {Authorization = "Bearer " .. key}

local function refused(message, status, request)
    request.url = url .. request.path
    local answer = http(request)
    expect(answer.status == status, message .. ": status " .. answer.status .. " " .. answer.body)
    local body = json_decode(answer.body)
    expect(body and body.error and body.error.run == "not_run", message .. ": " .. answer.body)
end
refused("invalid JSON", 400, {path = "/v1/completions", method = "POST", body = "{", headers = auth})
refused("a JSON array", 400, {path = "/v1/completions", method = "POST", body = "[1]", headers = auth})
refused("a missing model", 400, {path = "/v1/completions", method = "POST", body = "{}", headers = auth})
refused("a model of the wrong type", 400, {path = "/v1/completions", method = "POST", body = '{"model":7}', headers = auth})
refused("messages as a string", 400, {path = "/v1/chat/completions", method = "POST", headers = auth, body = '{"model":"' .. f.model .. '","messages":"hello"}'})
refused("a negative number of tokens", 400, {path = "/v1/completions", method = "POST", headers = auth, body = '{"model":"' .. f.model .. '","prompt":"x","max_tokens":-1}'})
refused("an unknown model", 404, {path = "/v1/completions", method = "POST", body = '{"model":"x"}', headers = auth})
refused("an unknown route", 404, {path = "/r/nowhere/x", method = "POST", body = "", headers = auth})
refused("an unknown path", 404, {path = "/nowhere", method = "GET", headers = auth})
refused("an oversized body", 413, {path = "/v1/completions", method = "POST", body = string.rep("x", 70 * 1024 * 1024), headers = auth})
refused("invalid UTF-8", 400, {path = "/v1/completions", method = "POST", body = '{"model":"\xff\xfe"}', headers = auth})
refused("an invalid sheet version", 400, {path = "/admin/v1/sheet?from_version=x", method = "POST", body = "", headers = {Authorization = "Bearer " .. OPERATOR_KEY}})
refused("an admin request without the operator key", 401, {path = "/admin/v1/sheet", method = "GET", headers = auth})

-- A sheet with errors is rejected with a list of all of them and changes nothing.
local before = f:version(host)
local bad = f:admin("POST", "/sheet?from_version=" .. before, SHEET_HEADER .. "customer,c,-1,1,1,,,,,,\nroute,r,,,,model,none,keyed,yes,1,\n")
expect(bad.status == 400 and bad.body:find("row 2") and bad.body:find("row 3"), "the errors of both rows are reported: " .. bad.body)
expect(f:version(host) == before, "the configuration version is unchanged")

-- Truncated requests.
for i = 1, 5 do send_truncated_request{url = url, text = "POST /v1/completions HTTP/1.1\r\nContent-Length: 500\r\n\r\n{\"model\""} end
send_truncated_request{url = url, text = "GET /v1/mod"}
send_truncated_request{url = url, text = "\0\1\2 nonsense\r\n\r\n"}
expect(f:complete(host, key).status == 200, "the daemon serves requests after truncated ones")

-- With more idle connections than max-callers, other callers and readiness probes are still served.
for i = 1, 20 do open_idle_connection{url = url, text = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"} end
eventually(8, "a caller is served while idle connections are open", function() return f:complete(host, key, {timeout = 8}).status == 200 end)
expect(f:ready(host), "the readiness probe succeeds")
